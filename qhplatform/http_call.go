package qhplatform

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
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

// request is one call to the object API.
type request struct {
	op    Operation
	key   Key
	query url.Values
	value []byte
	at    Revision
}

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
		} else if tries < c.Tries && c.budget.retry() {
			return value, err
		}
		if err != nil {
			err = backoff.Permanent(err)
		}
		return value, err
	}, backoff.WithBackOff(wait), backoff.WithMaxTries(c.Tries))
	if err != nil {
		return value, last
	}
	return value, nil
}

// call makes one try and returns the body of its answer.
func (c *client) call(ctx context.Context, req request) ([]byte, error) {
	timeout, client := c.Timeout, c.calls
	switch {
	case req.op == OpWatch:
		timeout, client = c.Wait+c.Timeout, c.watches
	case c.isBulk(req.key):
		client = c.bulk
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	start := time.Now()
	body, err := c.try(ctx, client, req)
	c.measure(req, start, body, err)
	return body, err
}

func (c *client) try(ctx context.Context, client *http.Client, req request) ([]byte, error) {
	sent := new(atomic.Bool)
	call, err := c.build(ctx, req, sent)
	if err != nil {
		return nil, err
	}
	if err := c.await(ctx, req); err != nil {
		return nil, qherr.New(qherr.Unavailable, err, "wait before the next call",
			"%s %s was not sent, since this process calls the platform at its set rate", req.op, req.key)
	}
	c.count("qh_platform_calls_total", req.op, 1)
	resp, err := client.Do(call)
	if err != nil {
		client.CloseIdleConnections()
		return nil, c.failed(req, sent.Load(), err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, int64(maxAnswer)+1))
	if err != nil {
		return nil, c.failed(req, true, err)
	}
	if resp.StatusCode == http.StatusOK {
		return body, nil
	}
	return nil, refusal(req, resp.StatusCode, body)
}

func (c *client) isBulk(key Key) bool {
	return c.Bulk != "" && strings.HasPrefix(string(key), string(c.Bulk))
}

// await waits until the limits let the call through.
func (c *client) await(ctx context.Context, req request) error {
	if c.isBulk(req.key) {
		if err := c.bulkLimiter.Wait(ctx); err != nil {
			return err
		}
	}
	return c.limiter.Wait(ctx)
}

// build returns the HTTP request. sent is set once it has a connection, from
// when on a write may take effect.
func (c *client) build(ctx context.Context, req request, sent *atomic.Bool) (*http.Request, error) {
	if c.base == nil || c.base.Host == "" {
		return nil, qherr.New(qherr.BadInput, nil, "set it as in http://10.0.0.1:7000", "%q is no URL of the platform", c.Base)
	}
	target := c.base.JoinPath(objectsPath)
	if req.op != OpList {
		if err := req.key.Check(); err != nil {
			return nil, err
		}
		target = target.JoinPath(string(req.key))
	}
	target.RawQuery = req.query.Encode()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	})
	call, err := http.NewRequestWithContext(ctx, req.op.method(), target.String(), bytes.NewReader(req.value))
	if err != nil {
		return nil, qherr.New(qherr.BadInput, err, "set it as in http://10.0.0.1:7000", "the platform's URL does not work")
	}
	switch req.op {
	case OpCreate:
		call.Header.Set("If-None-Match", "*")
	case OpUpdate, OpDelete:
		call.Header.Set("If-Match", fmt.Sprintf(`"%d"`, req.at))
	}
	return call, nil
}

func (o Operation) method() string {
	switch o {
	case OpCreate, OpUpdate:
		return http.MethodPut
	case OpDelete:
		return http.MethodDelete
	default:
		return http.MethodGet
	}
}

// failed is the error of a call without a whole answer.
func (c *client) failed(req request, sent bool, cause error) error {
	if sent && req.op.writes() {
		return lostAnswer(cause, req.op, req.key)
	}
	return qherr.New(qherr.Unavailable, cause, "check that the platform runs at "+c.Base,
		"no answer to %s %s", req.op, req.key)
}

// refusal is the error of an answer that is not OK.
func refusal(req request, status int, body []byte) error {
	if status == http.StatusNotModified && req.op == OpWatch {
		return qherr.New(qherr.NotFound, nil, "watch it again", "object %s did not change", req.key)
	}
	var told failure
	if err := json.Unmarshal(body, &told); err == nil && told.known() {
		return qherr.New(told.Kind, nil, told.Remedy, "%s", told.What)
	}
	if status == http.StatusTooManyRequests {
		return tooMany()
	}
	cause := fmt.Errorf("status %d without a reason", status)
	switch {
	case req.op.writes():
		return lostAnswer(cause, req.op, req.key)
	case status >= http.StatusInternalServerError:
		return qherr.New(qherr.Unavailable, cause, "try again", "the platform did not answer %s %s", req.op, req.key)
	default:
		return qherr.New(qherr.Internal, cause, "check the platform's URL", "the platform did not take %s %s", req.op, req.key)
	}
}

// decoded is the value in the body of an answer.
func decoded[T any](body []byte, err error) (T, error) {
	var value T
	if err != nil {
		return value, err
	}
	if err := json.Unmarshal(body, &value); err != nil {
		return value, qherr.New(qherr.Unavailable, err, "try again", "the platform's answer cannot be read")
	}
	return value, nil
}

// count adds to a counter of an operation.
func (c *client) count(name string, op Operation, more int) {
	c.Metrics.GetOrCreateCounter(fmt.Sprintf("%s{op=%q}", name, op)).Add(more)
}

func (c *client) measure(req request, start time.Time, body []byte, err error) {
	c.count("qh_platform_sent_bytes_total", req.op, len(req.value))
	c.count("qh_platform_received_bytes_total", req.op, len(body))
	if req.op != OpWatch {
		c.Metrics.GetOrCreateHistogram(fmt.Sprintf("qh_platform_call_seconds{op=%q}", req.op)).UpdateDuration(start)
	}
	if err == nil || qherr.Is(err, qherr.NotFound) {
		return
	}
	kind := qherr.KindOf(err)
	c.Metrics.GetOrCreateCounter(fmt.Sprintf(`qh_platform_errors_total{op=%q,kind=%q}`, req.op, kind)).Inc()
	c.Log.Debug("platform call failed", zap.String("op", string(req.op)), zap.String("key", string(req.key)), zap.Error(err))
}
