package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"quetzalhaven.dev/qherr"
	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhsite"
)

const (
	// settleTime is how long the control bytes of a change are still counted
	// after it is in force on all nodes.
	settleTime = time.Second
	// warmUpTime is the pause between the first change and the measurements, in
	// which the control traffic of the start ends.
	warmUpTime = 5 * time.Second
	// baseQueueLimit is the queue limit set by the first measured change. Each
	// further change sets one more, so that no two are equal.
	baseQueueLimit = 100
	fileMode       = 0o600
)

// fleet is a running site under measurement.
type fleet struct {
	site    *qhsite.Site
	options options
	version qhid.Version
}

// snapshot holds the cumulative counters of all nodes and the platform. The
// slices are in the order of Site.Nodes.
type snapshot struct {
	takenAt        time.Time
	controlTraffic []qhsite.ControlTraffic
	usage          []qhsite.Usage
	platformCalls  int
}

// measure applies the first change, then measures an interval without changes
// and the configured number of small changes.
func (f *fleet) measure(ctx context.Context) (fleetResult, error) {
	result := fleetResult{nodes: len(f.site.Nodes)}
	if err := f.site.WaitMembers(ctx); err != nil {
		return result, err
	}
	intent := filepath.Join(f.site.Deployment.Dir, f.site.Deployment.Steps[0].Intent)
	if _, err := f.applyChange(ctx, intent); err != nil {
		return result, err
	}
	if err := sleep(ctx, warmUpTime); err != nil {
		return result, err
	}
	idleInterval, err := f.measureInterval(ctx, func() error { return sleep(ctx, f.options.idleTime) })
	if err != nil {
		return result, err
	}
	result.addIdle(idleInterval)
	for i := range f.options.changes {
		if err := f.measureChange(ctx, i, &result); err != nil {
			return result, err
		}
	}
	return result, nil
}

// measureChange applies one small change and adds its convergence times and
// control bytes to the result.
func (f *fleet) measureChange(ctx context.Context, number int, result *fleetResult) error {
	intent, err := f.writeIntents(number)
	if err != nil {
		return err
	}
	changeInterval, err := f.measureInterval(ctx, func() error {
		applyTimes, err := f.applyChange(ctx, intent)
		result.convergenceTimes = append(result.convergenceTimes, applyTimes.PerNode...)
		if err != nil {
			return err
		}
		return sleep(ctx, settleTime)
	})
	result.addChange(changeInterval)
	return err
}

// applyChange plans and confirms the intents in the file and waits until they
// are in force on all nodes. Convergence times count from the confirm.
func (f *fleet) applyChange(ctx context.Context, file string) (qhsite.ApplyTimes, error) {
	plan, err := f.site.Plan(ctx, file)
	if err != nil {
		return qhsite.ApplyTimes{}, err
	}
	start := time.Now()
	if err := f.site.Confirm(ctx, plan); err != nil {
		return qhsite.ApplyTimes{}, err
	}
	f.version++
	return f.site.WaitVersion(ctx, f.version, start, f.site.Nodes)
}

// writeIntents writes the intents of a small change, the queue limit of one
// service, and returns the path of the file.
func (f *fleet) writeIntents(number int) (string, error) {
	const format = `{"reason": "change %d", "intents": [{"do": "limit", "service": %q, "queue": %d}]}`
	path := filepath.Join(f.site.Dir, "intent.jsonc")
	text := fmt.Sprintf(format, number, f.site.Deployment.Services[0].Name, baseQueueLimit+number)
	if err := os.WriteFile(path, []byte(text), fileMode); err != nil {
		return "", qherr.New(qherr.Internal, err, "free space on the disk for temporary files", "cannot write the intents")
	}
	return path, nil
}

// measureInterval returns the snapshots before and after a run of work.
func (f *fleet) measureInterval(ctx context.Context, work func() error) (interval, error) {
	before, err := f.takeSnapshot(ctx)
	if err != nil {
		return interval{}, err
	}
	if err := work(); err != nil {
		return interval{}, err
	}
	after, err := f.takeSnapshot(ctx)
	return interval{before: before, after: after}, err
}

func (f *fleet) takeSnapshot(ctx context.Context) (snapshot, error) {
	current := snapshot{takenAt: time.Now()}
	for _, node := range f.site.Nodes {
		traffic, err := node.ControlTraffic(ctx)
		if err != nil {
			return current, err
		}
		usage, err := node.Usage()
		if err != nil {
			return current, err
		}
		current.controlTraffic = append(current.controlTraffic, traffic)
		current.usage = append(current.usage, usage)
	}
	counts, err := f.site.PlatformCounts(ctx)
	current.platformCalls = counts.Total
	return current, err
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}
