package qhspread

// reachability has the counts by which a node decides whether an unresponsive
// node has failed or it is itself cut off.
type reachability struct {
	// Unresponsive is the number of suspects in the availability zone that did
	// not respond to a probe of this node.
	Unresponsive int
	// Responding is the number of other nodes of the availability zone that
	// responded to a probe after the suspect did not.
	Responding int
	// Up is the number of nodes of the availability zone that are neither
	// marked down nor leaving, including this node and the suspects.
	Up int
	// Down is the number of nodes of the availability zone already marked down.
	Down int
	// RemoteReachable is set if the platform or another availability zone was
	// reached.
	RemoteReachable bool
}

// confirmsFailure reports whether to mark an unresponsive node down. If fewer nodes
// respond than are unresponsive, this node may itself be cut off. If the
// availability zone has no third node to probe, it is enough to reach anything
// outside of it. Once half of the availability zone is down, no more nodes are
// marked down, because a network partition is more likely.
func (r reachability) confirmsFailure() bool {
	if 2*(r.Down+1) > r.Up+r.Down+1 {
		return false
	}
	if r.Responding > 0 {
		return r.Responding >= r.Unresponsive
	}
	return r.Unresponsive == 1 && r.Up <= 2 && r.RemoteReachable
}
