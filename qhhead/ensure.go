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
	// initialBackoff and maxBackoff bound the mean of the random wait between
	// attempts.
	initialBackoff = 20 * time.Millisecond
	maxBackoff     = time.Second
	// fullJitter makes the backoff draw the wait between 0 and twice the mean.
	fullJitter = 1
)

// ensureObject writes an object under its digest. An existing object is written
// again to change its revision, so that a prune that has listed the object as
// unused does not delete it.
func (c *Chain) ensureObject(ctx context.Context, prefix qhplatform.Key, object encodedObject) error {
	key := prefix + qhplatform.Key(object.digest)
	delays := newBackoff()
	var err error
	for range maxAttempts {
		if err = c.tryEnsureObject(ctx, key, object.data); err == nil {
			return nil
		}
		switch qherr.KindOf(err) {
		case qherr.Conflict, qherr.NotFound, qherr.Unknown:
		default:
			return err
		}
		if !qhgroup.Sleep(ctx, delays.NextBackOff()) {
			break
		}
	}
	return qherr.New(qherr.Unavailable, err, "try again", "%s was not written", key)
}

func (c *Chain) tryEnsureObject(ctx context.Context, key qhplatform.Key, data []byte) error {
	_, err := c.store.Create(ctx, key, data)
	if !qherr.Is(err, qherr.Conflict) && !qherr.Is(err, qherr.Unknown) {
		return err
	}
	object, err := c.store.Get(ctx, key)
	if err != nil {
		return err
	}
	if !bytes.Equal(object.Value, data) {
		return qherr.New(qherr.Internal, nil, "restore it on the platform", "%s on the platform does not match its digest", key)
	}
	_, err = c.store.Update(ctx, key, data, object.Revision)
	return err
}

func newBackoff() *backoff.ExponentialBackOff {
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval = initialBackoff
	delays.MaxInterval = maxBackoff
	delays.RandomizationFactor = fullJitter
	return delays
}
