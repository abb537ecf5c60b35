package qhcanary

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"quetzalhaven.dev/qhclock"
	"quetzalhaven.dev/qhconfig"
	"quetzalhaven.dev/qherr"
	"quetzalhaven.dev/qhgroup"
	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhmember"
	"quetzalhaven.dev/qhplatform"
)

const (
	// decideInterval is the time between two steps of a decider.
	decideInterval = 700 * time.Millisecond
	// renewInterval is how often the decider writes the state if nothing changes.
	renewInterval = 2 * time.Second
	// takeoverDelay is how long the state must not have changed before another node
	// becomes its decider, and rankDelay how much longer each further one waits.
	takeoverDelay = 5 * time.Second
	rankDelay     = 500 * time.Millisecond
	// maxRank is the last node in the order of a service that becomes its decider.
	maxRank = 15
	// askTimeout bounds a question to a node, storeTimeout a call to the store.
	askTimeout   = 600 * time.Millisecond
	storeTimeout = 2 * time.Second
	// maxExposed is the number of targets that are exposed, and of old ones that they
	// are compared with.
	maxExposed = 8
	// failurePool is the number of bad answers that the exposed targets may give
	// together before the decider has judged them.
	failurePool = 40
	// goodShare is the part of an order's time before which no version is called
	// good, so that faults that come later are seen.
	goodShare = 0.5
)

// Codec translates between objects of the store and roll-outs.
type Codec struct {
	// Decode returns the roll-out of an object. Errors are of kind BadInput.
	Decode func(object qhplatform.Object) (Rollout, error)
	// Encode returns the status of an object that has the state.
	Encode func(state State) ([]byte, error)
}

// DeciderOptions configures a Decider. All fields are required.
type DeciderOptions struct {
	Self  qhid.Node
	Book  *Book
	Store qhplatform.Store
	Codec Codec
	View  func() *qhmember.View
	// Ask asks a node for its report on the targets of a service.
	Ask func(ctx context.Context, node qhmember.Entry, service qhid.Service) (Report, error)
	// Now is a clock that also counts the time for which the machine was suspended.
	Now func() qhclock.Instant
	Log *zap.Logger
}

// Decider decides on roll-outs in turn with those of the other nodes: each change of a
// state is written under the condition that nobody else has written since. A decider
// that was paused or cut off therefore changes nothing any more once another node has
// taken over.
type Decider struct {
	DeciderOptions
	// trials has what this node knows of each undecided roll-out. Only Run uses it.
	trials map[qhid.Service]*trial
}

// trial is what a node knows of an undecided roll-out.
type trial struct {
	software qhid.Software
	// revision is the last one seen, since seenAt.
	revision qhplatform.Revision
	seenAt   qhclock.Instant
	// judge and before belong to the term in which this node decides: the counts of
	// the targets at the last question.
	term   uint64
	judge  *Judge
	before map[qhid.Target]RouteCounts
	// failures has the bad answers of each exposed target.
	failures map[qhid.Target]int
	// writtenAt is when this node wrote the state last, with the time used until then.
	writtenAt qhclock.Instant
}

// NewDecider returns a decider; Run runs it.
func NewDecider(options DeciderOptions) *Decider {
	return &Decider{DeciderOptions: options, trials: make(map[qhid.Service]*trial)}
}

// Run takes part in deciding until the context ends.
func (d *Decider) Run(ctx context.Context) {
	for ctx.Err() == nil {
		changed := d.Book.Changed()
		if !d.step(ctx) {
			select {
			case <-changed:
			case <-ctx.Done():
			}
			continue
		}
		qhgroup.Sleep(ctx, decideInterval)
	}
}

// step makes one step in each roll-out. It returns false if all are decided.
func (d *Decider) step(ctx context.Context) bool {
	undecided := false
	for _, rollout := range d.Book.List() {
		service := rollout.Order.Service
		if rollout.State != nil && rollout.State.isFinal() && !rollout.Unwritten {
			delete(d.trials, service)
			continue
		}
		undecided = true
		t := d.trials[service]
		if t == nil || t.software != rollout.Order.Software {
			t = &trial{software: rollout.Order.Software}
			d.trials[service] = t
		}
		if now := d.Now(); t.revision != rollout.Revision {
			t.revision, t.seenAt = rollout.Revision, now
		}
		d.stepIn(ctx, t, rollout)
	}
	return undecided
}

// stepIn makes one step in a roll-out: it decides if this node is the decider, and
// becomes the decider if there is none.
func (d *Decider) stepIn(ctx context.Context, t *trial, rollout *Rollout) {
	state := rollout.State
	switch {
	case state != nil && state.Decider == d.Self && !rollout.Unwritten && t.term == state.Term:
		d.decide(ctx, t, rollout)
	case d.Now().Since(t.seenAt) >= d.patience(rollout):
		d.takeUp(ctx, t, rollout)
	}
}

// patience returns how long this node waits before it becomes the decider. Nodes
// become it in an order of their own for each service.
func (d *Decider) patience(rollout *Rollout) time.Duration {
	rank := d.rank(rollout.Order.Service)
	if rank > maxRank {
		return 1 << 62 // never
	}
	patience := time.Duration(rank) * rankDelay
	if rollout.State != nil && !rollout.Unwritten {
		patience += takeoverDelay
	}
	return patience
}

// rank returns the number of nodes that precede this one for the service.
func (d *Decider) rank(service qhid.Service) int {
	hash := func(node qhid.Node) uint64 { return xxhash.Sum64String(string(service) + "/" + string(node)) }
	own, rank := hash(d.Self), 0
	for _, entry := range d.View().Entries {
		if entry.State == qhmember.Up && entry.Node != d.Self && hash(entry.Node) < own {
			rank++
		}
	}
	return rank
}

// takeUp makes this node the decider, of a new order with the first state.
func (d *Decider) takeUp(ctx context.Context, t *trial, rollout *Rollout) {
	next := State{Software: rollout.Order.Software, Phase: Exposing}
	if rollout.State != nil {
		next = *rollout.State
		if !next.isFinal() {
			next.Elapsed += qhconfig.Duration(d.Now().Since(t.seenAt))
		}
	} else {
		next.Barred = rollout.Barred
		next.Reason = "the roll-out begins"
	}
	next.Term++
	next.Decider = d.Self
	d.expose(rollout.Order, &next)
	if d.write(ctx, t, rollout, next) {
		t.term, t.judge, t.before, t.failures = next.Term, NewJudge(), nil, make(map[qhid.Target]int)
	}
}

// expose chooses the exposed targets, and deals out their bad answers, if targets are
// missing that might be exposed. Exposed targets stay so while they exist.
func (d *Decider) expose(order Order, state *State) {
	if state.Phase != Exposing {
		return
	}
	fresh := targetsOf(d.View(), order.Service, func(software qhid.Software) bool { return software == order.Software })
	kept := slices.DeleteFunc(slices.Clone(state.Exposed), func(target qhid.Target) bool {
		return !slices.ContainsFunc(fresh, func(e *qhmember.Endpoint) bool { return e.ID == target })
	})
	for _, endpoint := range spreadOverZones(fresh) {
		if len(kept) < maxExposed && !slices.Contains(kept, endpoint.ID) {
			kept = append(kept, endpoint.ID)
		}
	}
	if len(kept) == 0 {
		state.Exposed, state.Reason = nil, "waits for a target of the version"
		return
	}
	state.Exposed = kept
	state.AllowedFailures = max(state.AllowedFailures, failurePool/len(kept))
}

// targetsOf returns the endpoints of a service whose version is wanted and that are
// not leaving.
func targetsOf(view *qhmember.View, service qhid.Service, wanted func(qhid.Software) bool) []*qhmember.Endpoint {
	var found []*qhmember.Endpoint
	for _, endpoint := range view.Services[service] {
		if wanted(endpoint.Software) && endpoint.State != qhmember.Leaving && endpoint.State != qhmember.Down {
			found = append(found, endpoint)
		}
	}
	return found
}

// spreadOverZones orders endpoints so that those of all zones alternate.
func spreadOverZones(endpoints []*qhmember.Endpoint) []*qhmember.Endpoint {
	seen := make(map[qhid.Zone]int)
	position := make(map[qhid.Target]int, len(endpoints))
	for _, endpoint := range endpoints {
		position[endpoint.ID] = seen[endpoint.Zone]
		seen[endpoint.Zone]++
	}
	ordered := slices.Clone(endpoints)
	slices.SortStableFunc(ordered, func(a, b *qhmember.Endpoint) int { return position[a.ID] - position[b.ID] })
	return ordered
}

// decide makes one step as the decider.
func (d *Decider) decide(ctx context.Context, t *trial, rollout *Rollout) {
	next := *rollout.State
	now := d.Now()
	next.Elapsed += qhconfig.Duration(now.Since(t.writtenAt))
	if next.Phase == Switching {
		d.finishSwitch(ctx, rollout, &next)
	} else {
		d.expose(rollout.Order, &next)
		d.observe(ctx, t, rollout, &next)
		d.judge(t, rollout.Order, &next)
	}
	changed := next.Phase != rollout.State.Phase || next.AllowedFailures != rollout.State.AllowedFailures || !slices.Equal(next.Exposed, rollout.State.Exposed)
	if changed || now.Since(t.writtenAt) >= renewInterval {
		d.write(ctx, t, rollout, next)
	}
}

// observe adds the answers since the last step to the judge.
func (d *Decider) observe(ctx context.Context, t *trial, rollout *Rollout, next *State) {
	view := d.View()
	old := targetsOf(view, rollout.Order.Service, func(software qhid.Software) bool {
		return software != rollout.Order.Software && !slices.Contains(next.Barred, software)
	})
	old = spreadOverZones(old)
	old = old[:min(len(old), maxExposed)]
	asked := slices.Clone(old)
	for _, endpoint := range view.Services[rollout.Order.Service] {
		if slices.Contains(next.Exposed, endpoint.ID) {
			asked = append(asked, endpoint)
		}
	}
	sample := Sample{New: make(map[qhid.Target]RouteCounts), Old: make(RouteCounts)}
	isFirst := t.before == nil
	if isFirst {
		t.before = make(map[qhid.Target]RouteCounts)
	}
	// What was counted before the order says nothing of it. A later decider has to
	// judge by all that was counted, since the former one's judgement is gone.
	isBaseline := isFirst && next.Term == 1
	for _, report := range d.askAll(ctx, view, rollout.Order.Service, asked) {
		for _, target := range report.Targets {
			since := countsSince(target.Routes, t.before[target.Target])
			_, known := t.before[target.Target]
			known = known || isFirst
			t.before[target.Target] = target.Routes
			switch {
			case target.Software == rollout.Order.Software && slices.Contains(next.Exposed, target.Target):
				t.failures[target.Target] = max(t.failures[target.Target], target.Failures)
				sample.New[target.Target] = since
			case slices.ContainsFunc(old, func(e *qhmember.Endpoint) bool { return e.ID == target.Target }) && known:
				for route, counts := range since {
					sample.Old[route] = sample.Old[route].plus(counts)
				}
			}
		}
	}
	if !isBaseline {
		t.judge.Add(sample)
	}
}

// countsSince returns what was counted since an earlier state. A target's node that was
// restarted counts anew.
func countsSince(now, before RouteCounts) RouteCounts {
	since := make(RouteCounts, len(now))
	for route, counts := range now {
		if earlier := before[route]; earlier.Answers <= counts.Answers {
			counts = counts.minus(earlier)
		}
		since[route] = counts
	}
	return since
}

// judge sets the next phase by what the judge thinks.
func (d *Decider) judge(t *trial, order Order, next *State) {
	opinion, reason := t.judge.Opinion()
	next.Tally = t.judge.Tally()
	used := float64(next.Elapsed) / float64(order.TimeLimit())
	switch {
	case opinion == Bad:
		next.Phase, next.Reason = Reverted, "worse than the versions in service: "+reason
	case opinion == Suspect && used >= 1:
		next.Phase, next.Reason = Reverted, "suspect until the end of the order's time: "+reason
	case opinion == Good && used >= goodShare && len(next.Exposed) > 0:
		next.Phase, next.Reason = Switching, "no worse than the versions in service: "+reason
	case len(next.Exposed) == 0: // the reason is set
	case opinion == Good:
		next.Reason = "sound so far; watched for a part of the order's time: " + reason
	default:
		next.Reason = "waits for more answers: " + reason
	}
	if next.Phase == Exposing && opinion >= Unsure {
		d.allowMore(t, next)
	}
	if next.Phase != Exposing {
		d.Log.Info("roll-out judged", zap.String("service", string(order.Service)), zap.String("software", string(order.Software)),
			zap.String("phase", string(next.Phase)), zap.String("reason", next.Reason), zap.Duration("elapsed", time.Duration(next.Elapsed)),
			zap.Int("answers", next.Tally.NewAnswers), zap.Int("failures", next.Tally.NewFailures))
	}
}

// allowMore lets exposed targets of a version that is not suspect give more bad answers
// once one of them has given all that it may.
func (d *Decider) allowMore(t *trial, next *State) {
	most := 0
	for _, failures := range t.failures {
		most = max(most, failures)
	}
	if most >= next.AllowedFailures && len(next.Exposed) > 0 {
		next.AllowedFailures = most + failurePool/len(next.Exposed)
	}
}

// finishSwitch completes the roll-out once no call is at work at a target of an old
// version.
func (d *Decider) finishSwitch(ctx context.Context, rollout *Rollout, next *State) {
	view := d.View()
	old := targetsOf(view, rollout.Order.Service, func(software qhid.Software) bool { return software != rollout.Order.Software })
	quiet := make(map[qhid.Target]bool)
	for _, report := range d.askAll(ctx, view, rollout.Order.Service, old) {
		if report.Phase != Switching || report.Software != rollout.Order.Software {
			continue
		}
		for _, target := range report.Targets {
			quiet[target.Target] = target.Running == 0
		}
	}
	for _, endpoint := range old {
		if !quiet[endpoint.ID] {
			next.Reason = fmt.Sprintf("switched; waits until nothing is at work at target %s of %s on node %s", endpoint.ID, endpoint.Software, endpoint.Node)
			return
		}
	}
	next.Phase, next.Reason = Complete, fmt.Sprintf("nothing is at work at the %d targets of the versions before", len(old))
}

// askAll asks the nodes of endpoints for their reports, all at once. Nodes that do not
// answer in time are left out.
func (d *Decider) askAll(ctx context.Context, view *qhmember.View, service qhid.Service, endpoints []*qhmember.Endpoint) []Report {
	asked := make(map[qhid.Node]bool)
	for _, endpoint := range endpoints {
		asked[endpoint.Node] = true
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	group, wait := qhgroup.New(ctx)
	var mu sync.Mutex
	var reports []Report
	for _, entry := range view.Entries {
		if !asked[entry.Node] {
			continue
		}
		group.Go(func(context.Context) {
			report, err := d.Ask(ctx, entry, service)
			if err != nil {
				d.Log.Info("node does not report on a roll-out", zap.String("member", string(entry.Node)), zap.String("service", string(service)), zap.Error(err))
				return
			}
			mu.Lock()
			defer mu.Unlock()
			reports = append(reports, report)
		})
	}
	group.Wait()
	wait()
	return reports
}

// write writes the state if nobody else has written the object since. It returns
// whether that is certain.
func (d *Decider) write(ctx context.Context, t *trial, rollout *Rollout, next State) bool {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	status, err := d.Codec.Encode(next)
	var revision qhplatform.Revision
	if err == nil {
		revision, err = d.Store.UpdateStatus(ctx, rollout.Key, status, rollout.Revision)
	}
	if err != nil {
		d.Log.Info("state of a roll-out not written; it is read again", zap.String("service", string(rollout.Order.Service)), zap.Uint64("term", next.Term), zap.Error(err))
		if qherr.Is(err, qherr.Conflict) || qherr.Is(err, qherr.Unknown) {
			d.readAgain(ctx, rollout.Key)
		}
		return false
	}
	written := Rollout{Order: rollout.Order, State: &next, Key: rollout.Key, Revision: revision}
	now := d.Now()
	t.revision, t.seenAt, t.writtenAt = revision, now, now
	d.Book.Put(written, false)
	return true
}

// readAgain puts the object as the store has it into the book.
func (d *Decider) readAgain(ctx context.Context, key qhplatform.Key) {
	object, err := d.Store.Get(ctx, key)
	if err != nil {
		return // the watch delivers it
	}
	if rollout, err := d.Codec.Decode(object); err == nil {
		d.Book.Put(rollout, false)
	}
}
