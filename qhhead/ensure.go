package qhhead

import (
	"bytes"
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"

	"quetzalhaven.dev/qherr"
	"quetzalhaven.dev/qhgroup"
	"quetzalhaven.dev/qhplatform"
)

const (
	// firstWait and lastWait are means of the random wait between tries.
	firstWait = 20 * time.Millisecond
	lastWait  = time.Second
	// fullJitter draws the wait from 0 to twice the mean.
	fullJitter = 1
)

// ensure writes an object under its digest. One that is there already is
// written again at its revision, so that a sweep that found it unused before
// no longer deletes it.
func (c *Chain) ensure(ctx context.Context, prefix qhplatform.Key, object encoded) error {
	key := prefix + qhplatform.Key(object.digest)
	wait := newWait()
	var err error
	for range maxTries {
		if err = c.ensureOnce(ctx, key, object.data); err == nil {
			return nil
		}
		switch qherr.KindOf(err) {
		case qherr.Conflict, qherr.NotFound, qherr.Unknown:
		default:
			return err
		}
		if !qhgroup.Sleep(ctx, wait.NextBackOff()) {
			break
		}
	}
	return qherr.New(qherr.Unavailable, err, "try again", "%s was not written", key)
}

func (c *Chain) ensureOnce(ctx context.Context, key qhplatform.Key, data []byte) error {
	_, err := c.store.Create(ctx, key, data)
	if !qherr.Is(err, qherr.Conflict) && !qherr.Is(err, qherr.Unknown) {
		return err
	}
	object, err := c.store.Get(ctx, key)
	if err != nil {
		return err
	}
	if !bytes.Equal(object.Value, data) {
		return qherr.New(qherr.Internal, nil, "restore it on the platform", "%s on the platform does not have its digest", key)
	}
	_, err = c.store.Update(ctx, key, data, object.Revision)
	return err
}

func newWait() *backoff.ExponentialBackOff {
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval = firstWait
	wait.MaxInterval = lastWait
	wait.RandomizationFactor = fullJitter
	return wait
}
