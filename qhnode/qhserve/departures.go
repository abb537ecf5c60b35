package qhserve

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/cenkalti/backoff/v5"
	"go.uber.org/zap"

	"quetzalhaven.dev/qhannounce"
	"quetzalhaven.dev/qherr"
	"quetzalhaven.dev/qhgroup"
	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhplatform"
)

const (
	// departuresPrefix is the prefix of the objects with the departures of a node's
	// targets.
	departuresPrefix qhplatform.Key = "departures/"
	// minDeparturesRetry and maxDeparturesRetry bound the pauses after a failed call to the
	// store.
	minDeparturesRetry = 100 * time.Millisecond
	maxDeparturesRetry = 2 * time.Second
)

// departures keeps which incarnations of this VM's targets have left in the store, so that
// a late announcement does not bring one back after a restart of the node.
type departures struct {
	store   qhplatform.Store
	key     qhplatform.Key
	log     *zap.Logger
	changed chan struct{}
	// revision and stored are those of the object in the store; 0 and nil if there is
	// none.
	revision qhplatform.Revision
	stored   []qhannounce.Departure
}

func newDepartures(store qhplatform.Store, node qhid.Node, log *zap.Logger) *departures {
	return &departures{store: store, key: departuresPrefix + qhplatform.Key(node), log: log, changed: make(chan struct{}, 1)}
}

// wake makes run store the departures. It does not wait.
func (d *departures) wake() {
	select {
	case d.changed <- struct{}{}:
	default:
	}
}

// run restores the departures that the store has, and then stores each change.
func (d *departures) run(ctx context.Context, registry *qhannounce.Registry) {
	d.retry(ctx, "read", func() error { return d.read(ctx) })
	registry.Restore(d.stored)
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.changed:
		}
		d.retry(ctx, "write", func() error { return d.write(ctx, registry.Departures()) })
	}
}

// retry repeats a call to the store until it succeeds or ctx is done.
func (d *departures) retry(ctx context.Context, what string, call func() error) {
	pauses := &backoff.ExponentialBackOff{InitialInterval: minDeparturesRetry, MaxInterval: maxDeparturesRetry, Multiplier: backoff.DefaultMultiplier, RandomizationFactor: backoff.DefaultRandomizationFactor}
	pauses.Reset()
	for ctx.Err() == nil {
		err := call()
		if err == nil {
			return
		}
		d.log.Warn("departures of targets: cannot "+what+" them; an announcement that comes late after a restart may bring a target back", zap.Error(err))
		qhgroup.Sleep(ctx, pauses.NextBackOff())
	}
}

// read reads the object. One that cannot be decoded counts as missing and is replaced.
func (d *departures) read(ctx context.Context) error {
	object, err := d.store.Get(ctx, d.key)
	if err != nil && !qherr.Is(err, qherr.NotFound) {
		return err
	}
	d.revision, d.stored = object.Revision, nil
	if len(object.Value) == 0 {
		return nil
	}
	var value storedDepartures
	if err := json.Unmarshal(object.Value, &value); err != nil {
		d.log.Warn("departures of targets cannot be decoded", zap.Error(err))
		return nil
	}
	d.stored = value.Targets
	return nil
}

// storedDepartures is the value of the object.
type storedDepartures struct {
	Targets []qhannounce.Departure `json:"targets"`
}

// write writes the object if it differs from list.
func (d *departures) write(ctx context.Context, list []qhannounce.Departure) error {
	if slices.Equal(list, d.stored) {
		return nil
	}
	value, err := json.Marshal(storedDepartures{Targets: list})
	if err != nil {
		return qherr.New(qherr.Internal, err, "report this as a bug", "departures cannot be encoded")
	}
	revision := d.revision
	if revision == 0 {
		revision, err = d.store.Create(ctx, d.key, value)
	} else {
		revision, err = d.store.Update(ctx, d.key, value, revision)
	}
	if err == nil {
		d.revision, d.stored = revision, list
		return nil
	}
	if qherr.Is(err, qherr.Conflict) || qherr.Is(err, qherr.Unknown) || qherr.Is(err, qherr.NotFound) {
		_ = d.read(ctx) // for its revision; the next attempt reads it again if that fails
	}
	return err
}
