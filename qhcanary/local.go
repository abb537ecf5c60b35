package qhcanary

// Local has what a node needs to keep to the roll-outs.
type Local struct {
	Book   *Book
	Shares *Shares
	Door   *Door
}
