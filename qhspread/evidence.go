package qhspread

// evidence is what a node knows about its surroundings when a node does not
// answer.
type evidence struct {
	// Unresponsive is the number of nodes of the availability zone that
	// currently do not answer this node.
	Unresponsive int
	// Responding is the number of other nodes of the availability zone that
	// answered a probe since the suspect stopped answering.
	Responding int
	// InUse is the number of nodes of the availability zone that are in use,
	// including this node and the suspects.
	InUse int
	// Down is the number of nodes of the availability zone already marked down.
	Down int
	// RemoteReachable is set if the platform or another availability zone was
	// reached.
	RemoteReachable bool
}

// provesFailure reports whether the evidence suffices to mark a suspect down. A
// node that reaches fewer nodes than it suspects may itself be cut off. If the
// availability zone has no third node to probe, reaching anything outside of it
// suffices. Once half of the availability zone is down, no more nodes are
// marked down, because a network partition is more likely.
func (e evidence) provesFailure() bool {
	if 2*(e.Down+1) > e.InUse+e.Down+1 {
		return false
	}
	if e.Responding > 0 {
		return e.Responding >= e.Unresponsive
	}
	return e.Unresponsive == 1 && e.InUse <= 2 && e.RemoteReachable
}
