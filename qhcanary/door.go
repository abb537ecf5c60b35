package qhcanary

import (
	"math"
	"sync"
	"time"

	"quetzalhaven.dev/qhid"
)

// Door admits calls to the targets of this VM as their roll-outs allow, and counts
// their answers. It is safe for concurrent use.
type Door struct {
	book *Book
	now  func() time.Time

	mu      sync.Mutex
	targets map[qhid.Target]*targetCounts
}

// targetCounts are those of one target since it was first called.
type targetCounts struct {
	// running counts the admitted calls that have not ended.
	running  int
	failures int
	routes   RouteCounts
	lastUsed time.Time
}

const (
	// countsMemory is how long the counts of a target are kept that is not called.
	countsMemory = 5 * time.Minute
	// maxRoutes bounds the routes that are counted for one target.
	maxRoutes = 256
)

// NewDoor returns a door that keeps to the roll-outs of the book.
func NewDoor(book *Book, now func() time.Time) *Door {
	return &Door{book: book, now: now, targets: make(map[qhid.Target]*targetCounts)}
}

// Verdict says whether a call may be sent to a target.
type Verdict int

// Verdicts on calls.
const (
	Admitted Verdict = iota
	// Superseded means that the service is switched to another software version.
	Superseded
	// NotExposed means that the roll-out does not send calls to the target, or that
	// it has given all bad answers that it may.
	NotExposed
)

// Enter decides on a call to a target of this VM. Each admitted call must be followed by
// one of Leave.
func (d *Door) Enter(target qhid.Target, service qhid.Service, software qhid.Software) Verdict {
	d.mu.Lock()
	defer d.mu.Unlock()
	counts := d.countsOf(target)
	if rollout := d.book.Of(service); rollout != nil {
		if !rollout.Takes(target, software) {
			if software == rollout.Order.Software {
				return NotExposed
			}
			return Superseded
		}
		if state := rollout.State; state != nil && state.Phase == Exposing && software == state.Software && counts.failures >= state.AllowedFailures {
			return NotExposed
		}
	}
	counts.running++
	return Admitted
}

// countsOf returns the counts of a target. The lock is held.
func (d *Door) countsOf(target qhid.Target) *targetCounts {
	now := d.now()
	counts := d.targets[target]
	if counts == nil {
		for id, old := range d.targets {
			if old.running == 0 && now.Sub(old.lastUsed) > countsMemory {
				delete(d.targets, id)
			}
		}
		counts = &targetCounts{routes: make(RouteCounts)}
		d.targets[target] = counts
	}
	counts.lastUsed = now
	return counts
}

// Result is how a call to a target ended.
type Result struct {
	Route qhid.Route
	// Answered is set if the target gave an answer that counts.
	Answered bool
	Failed   bool
	// ServiceTime is the time until the answer began.
	ServiceTime time.Duration
}

// Leave ends an admitted call.
func (d *Door) Leave(target qhid.Target, result Result) {
	d.mu.Lock()
	defer d.mu.Unlock()
	counts := d.countsOf(target)
	counts.running--
	if !result.Answered {
		return
	}
	route, known := counts.routes[result.Route]
	if !known && len(counts.routes) >= maxRoutes {
		return
	}
	route.Answers++
	if result.Failed {
		route.Failures++
		counts.failures++
	} else {
		logTime := math.Log(max(result.ServiceTime, time.Microsecond).Seconds())
		route.LogTime += logTime
		route.LogTimeSquare += logTime * logTime
	}
	counts.routes[result.Route] = route
}

// TargetReport is what a node says of one of its targets.
type TargetReport struct {
	Target   qhid.Target   `json:"t"`
	Software qhid.Software `json:"s"`
	// Running counts the calls that are queued or at work.
	Running  int         `json:"r,omitempty"`
	Failures int         `json:"f,omitempty"`
	Routes   RouteCounts `json:"c,omitempty"`
}

// Report is the answer of a node to the decider of a roll-out.
type Report struct {
	// Phase is that of the order with the version Software as the node knows it.
	Phase    Phase          `json:"p,omitempty"`
	Software qhid.Software  `json:"v,omitempty"`
	Targets  []TargetReport `json:"t,omitempty"`
}

// Report reports on the given targets of a service on this VM. The phase was known
// before the targets' calls were counted.
func (d *Door) Report(service qhid.Service, targets map[qhid.Target]qhid.Software) Report {
	d.mu.Lock()
	defer d.mu.Unlock()
	var report Report
	if rollout := d.book.Of(service); rollout != nil && rollout.State != nil {
		report.Phase, report.Software = rollout.State.Phase, rollout.State.Software
	}
	for target, software := range targets {
		found := TargetReport{Target: target, Software: software}
		if counts := d.targets[target]; counts != nil {
			found.Running, found.Failures = counts.running, counts.failures
			found.Routes = make(RouteCounts, len(counts.routes))
			for route, routeCounts := range counts.routes {
				found.Routes[route] = routeCounts
			}
		}
		report.Targets = append(report.Targets, found)
	}
	return report
}
