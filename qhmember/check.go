package qhmember

import "quetzalhaven.dev/qherr"

// maxSlots bounds the slots of an announced target.
const maxSlots = 100_000

// Check returns an error of kind BadInput for an entry that a node cannot have written.
func (e *Entry) Check() error {
	switch {
	case !isValid(*e):
		return e.invalid("no node or zone, or a counter out of range:", e.Incarnation)
	case !e.PeerAddress.IsValid():
		return e.invalid("peer address", e.PeerAddress)
	case !e.CallAddress.IsValid():
		return e.invalid("call address", e.CallAddress)
	case e.State != Up && e.State != Leaving && e.State != Down:
		return e.invalid("state", e.State)
	case e.LinkSpeed < 0:
		return e.invalid("link speed", e.LinkSpeed)
	}
	for i := range e.Targets {
		if err := e.checkTarget(&e.Targets[i]); err != nil {
			return err
		}
	}
	return nil
}

func (e *Entry) checkTarget(target *AnnouncedTarget) error {
	switch {
	case target.ID == "" || target.Service == "":
		return e.invalid("a target without id or service:", target.ID)
	case target.State != Up && target.State != Cold && target.State != Leaving:
		return e.invalid("a target in state", target.State)
	case target.Slots < 0 || target.Slots > maxSlots:
		return e.invalid("a target with slots", target.Slots)
	}
	return nil
}

func (e *Entry) invalid(field string, value any) error {
	return qherr.New(qherr.BadInput, nil, "find out who writes entries besides the nodes", "the entry of node %q has %s %v", e.Node, field, value)
}
