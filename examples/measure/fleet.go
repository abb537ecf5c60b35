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
	// settle is how long the bytes of a change are counted once it is in force.
	settle = time.Second
	// warmUp lets a fleet come to rest after its start.
	warmUp = 5 * time.Second
	// baseQueue is the limit that the changes set, plus the number of the change.
	baseQueue = 100
	fileMode  = 0o600
)

// fleet is a site that is measured.
type fleet struct {
	site    *qhsite.Site
	options options
	version qhid.Version
}

// moment is what all nodes and the platform have used at one time.
type moment struct {
	at       time.Time
	control  []qhsite.Control
	usage    []qhsite.Usage
	platform int
}

func (f *fleet) measure(ctx context.Context) (result, error) {
	found := result{nodes: len(f.site.Nodes)}
	if err := f.site.WaitMembers(ctx); err != nil {
		return found, err
	}
	first := filepath.Join(f.site.Deployment.Dir, f.site.Deployment.Steps[0].Intent)
	if _, err := f.change(ctx, first); err != nil {
		return found, err
	}
	if err := pause(ctx, warmUp); err != nil {
		return found, err
	}
	idle, err := f.during(ctx, func() error { return pause(ctx, f.options.idle) })
	if err != nil {
		return found, err
	}
	found.addIdle(idle)
	for i := range f.options.changes {
		if err := f.measureChange(ctx, i, &found); err != nil {
			return found, err
		}
	}
	return found, nil
}

// measureChange makes one small change and adds what it took.
func (f *fleet) measureChange(ctx context.Context, number int, found *result) error {
	intent, err := f.write(number)
	if err != nil {
		return err
	}
	span, err := f.during(ctx, func() error {
		inForce, err := f.change(ctx, intent)
		found.times = append(found.times, inForce.Times...)
		if err != nil {
			return err
		}
		return pause(ctx, settle)
	})
	found.addChange(span)
	return err
}

// change plans and confirms the intents and waits until they are in force.
func (f *fleet) change(ctx context.Context, file string) (qhsite.InForce, error) {
	plan, err := f.site.Plan(ctx, file)
	if err != nil {
		return qhsite.InForce{}, err
	}
	start := time.Now()
	if err := f.site.Confirm(ctx, plan); err != nil {
		return qhsite.InForce{}, err
	}
	f.version++
	return f.site.WaitHeld(ctx, f.version, start, f.site.Nodes)
}

// write writes the intents of a small change: a limit of one service.
func (f *fleet) write(number int) (string, error) {
	const format = `{"reason": "change %d", "intents": [{"do": "limit", "service": %q, "queue": %d}]}`
	path := filepath.Join(f.site.Dir, "intent.jsonc")
	text := fmt.Sprintf(format, number, f.site.Deployment.Services[0].Name, baseQueue+number)
	if err := os.WriteFile(path, []byte(text), fileMode); err != nil {
		return "", qherr.New(qherr.Internal, err, "free the disk of temporary files", "can't write the intents")
	}
	return path, nil
}

// during returns what was used while f ran.
func (f *fleet) during(ctx context.Context, work func() error) (span, error) {
	before, err := f.now(ctx)
	if err != nil {
		return span{}, err
	}
	if err := work(); err != nil {
		return span{}, err
	}
	after, err := f.now(ctx)
	return span{before: before, after: after}, err
}

func (f *fleet) now(ctx context.Context) (moment, error) {
	now := moment{at: time.Now()}
	for _, node := range f.site.Nodes {
		control, err := node.Control(ctx)
		if err != nil {
			return now, err
		}
		usage, err := node.Usage()
		if err != nil {
			return now, err
		}
		now.control = append(now.control, control)
		now.usage = append(now.usage, usage)
	}
	counts, err := f.site.Counts(ctx)
	now.platform = counts.Total
	return now, err
}

func pause(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}
