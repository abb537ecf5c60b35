package qhspread

// evidence is what a node has seen around a node that gives no answer.
type evidence struct {
	// Suspects is how many nodes of the availability zone give no answer to
	// this node right now.
	Suspects int
	// Heard is how many other nodes of the availability zone were heard from
	// since the suspect fell silent.
	Heard int
	// Known is how many nodes of the availability zone are in use, with this
	// node and the suspects.
	Known int
	// Down is how many nodes of the availability zone are marked down already.
	Down int
	// Abroad is set where the platform or another availability zone was heard.
	Abroad bool
}

// convicts tells whether the evidence is enough to mark a suspect down. A node
// that hears fewer than it suspects doubts itself: it may be the one that is cut
// off. With no third node to ask in the availability zone, hearing anybody
// outside of it has to do. Once half of the availability zone is down, more of
// it is doubted: a cut is likelier.
func (e evidence) convicts() bool {
	if 2*(e.Down+1) > e.Known+e.Down+1 {
		return false
	}
	if e.Heard > 0 {
		return e.Heard >= e.Suspects
	}
	return e.Suspects == 1 && e.Known <= 2 && e.Abroad
}
