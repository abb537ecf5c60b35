package qhplatform

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"go.uber.org/zap"

	"quetzalhaven.dev/qherr"
	"quetzalhaven.dev/qhid"
)

const (
	// maxAnswer bounds an answer: a value of the largest size in base64 fits
	// many times, since lists have many values.
	maxAnswer qhid.Bytes = 64 << 20
	// firstBackoff and lastBackoff are means of the random wait before a read is tried again.
	firstBackoff = 50 * time.Millisecond
	lastBackoff  = 2 * time.Second
	// fullJitter draws the wait from 0 to twice the mean.
	fullJitter = 1
)

// retry tries a read again while the platform is Unavailable.
func retry[T any](ctx context.Context, c *client, read func() (T, error)) (T, error) {
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval = firstBackoff
	wait.MaxInterval = lastBackoff
	wait.RandomizationFactor = fullJitter
	var last error
	tries := uint(0)
	value, err := backoff.Retry(ctx, func() (T, error) {
		value, err := read()
		last = err
		tries++
		if !qherr.Is(err, qherr.Unavailable) {
			c.budget.answered()
		} else if tries < c.MaxAttempts && c.budget.retry() {
			return value, err
		}
		if err != nil {
			err = backoff.Permanent(err)
		}
		return value, err
	}, backoff.WithBackOff(wait), backoff.WithMaxTries(c.MaxAttempts))
	if err != nil {
		return value, last
	}
	return value, nil
}

// call makes one try and returns the body of its answer.
func (c *client) call(ctx context.Context, call Call) ([]byte, error) {
	timeout, client := c.Timeout, c.calls
	switch {
	case call.Op.waits():
		timeout, client = call.Wait+c.Timeout, c.watches
	case c.isBulk(call.Key):
		client = c.bulk
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	start := time.Now()
	body, err := c.try(ctx, client, call)
	c.measure(call, start, body, err)
	return body, err
}

func (c *client) try(ctx context.Context, client *http.Client, call Call) ([]byte, error) {
	sent := new(atomic.Bool)
	request, err := c.build(ctx, call, sent)
	if err != nil {
		return nil, err
	}
	if err := c.await(ctx, call); err != nil {
		return nil, qherr.New(qherr.Unavailable, err, "wait before the next call",
			"%s %s was not sent, since this process calls the platform at its set rate", call.Op, call.Key)
	}
	c.count("qh_platform_calls_total", call.Op, 1)
	resp, err := client.Do(request)
	if err != nil {
		client.CloseIdleConnections()
		return nil, c.failed(call, sent.Load(), err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, int64(maxAnswer)+1))
	if err != nil {
		return nil, c.failed(call, true, err)
	}
	if resp.StatusCode/100 == 2 {
		return body, nil
	}
	return nil, c.Codec.DecodeError(call, resp.StatusCode, body)
}

func (c *client) isBulk(key Key) bool {
	return c.BulkPrefix != "" && strings.HasPrefix(string(key), string(c.BulkPrefix))
}

// await waits until the limits let the call through.
func (c *client) await(ctx context.Context, call Call) error {
	if c.isBulk(call.Key) {
		if err := c.bulkLimiter.Wait(ctx); err != nil {
			return err
		}
	}
	return c.limiter.Wait(ctx)
}

// build returns the HTTP request. sent is set once it has a connection, from
// when on a write may take effect.
func (c *client) build(ctx context.Context, call Call, sent *atomic.Bool) (*http.Request, error) {
	if c.base == nil || c.base.Host == "" {
		return nil, qherr.New(qherr.BadInput, nil, "set it as in http://10.0.0.1:7000", "%q is no URL of the platform", c.BaseURL)
	}
	if call.Op != OpList && call.Op != OpFollow {
		if err := call.Key.Check(); err != nil {
			return nil, err
		}
	}
	encoded := c.Codec.Encode(call)
	target := c.base.JoinPath(encoded.Path)
	target.RawQuery = encoded.Query.Encode()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	})
	request, err := http.NewRequestWithContext(ctx, encoded.Method, target.String(), bytes.NewReader(encoded.Body))
	if err != nil {
		return nil, qherr.New(qherr.BadInput, err, "set it as in http://10.0.0.1:7000", "the platform's URL does not work")
	}
	if encoded.Header != nil {
		request.Header = encoded.Header
	}
	return request, nil
}

// failed is the error of a call without a whole answer.
func (c *client) failed(call Call, sent bool, cause error) error {
	if sent && call.Op.writes() {
		return lostAnswer(cause, call.Op, call.Key)
	}
	return qherr.New(qherr.Unavailable, cause, "check that the platform runs at "+c.BaseURL,
		"no answer to %s %s", call.Op, call.Key)
}

// readable turns an answer that can't be read into an error of its call.
func readable[T any](value T, err error) (T, error) {
	if err == nil {
		return value, nil
	}
	return value, qherr.New(qherr.Unavailable, err, "try again", "the platform's answer cannot be read")
}

// count adds to a counter of an operation.
func (c *client) count(name string, op Operation, more int) {
	c.Metrics.GetOrCreateCounter(fmt.Sprintf("%s{op=%q}", name, op)).Add(more)
}

func (c *client) measure(call Call, start time.Time, body []byte, err error) {
	c.count("qh_platform_sent_bytes_total", call.Op, len(call.Value))
	c.count("qh_platform_received_bytes_total", call.Op, len(body))
	if call.Op != OpWatch {
		c.Metrics.GetOrCreateHistogram(fmt.Sprintf("qh_platform_call_seconds{op=%q}", call.Op)).UpdateDuration(start)
	}
	if err == nil || qherr.Is(err, qherr.NotFound) {
		return
	}
	kind := qherr.KindOf(err)
	c.Metrics.GetOrCreateCounter(fmt.Sprintf(`qh_platform_errors_total{op=%q,kind=%q}`, call.Op, kind)).Inc()
	c.Log.Debug("platform call failed", zap.String("op", string(call.Op)), zap.String("key", string(call.Key)), zap.Error(err))
}
