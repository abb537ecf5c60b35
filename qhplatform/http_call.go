package qhplatform

import (
	"bytes"
	"context"
	"errors"
	"fmt"
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
	// maxResponseSize bounds the size of a response. Lists hold many values, so it
	// is many times the largest value in base64.
	maxResponseSize qhid.Bytes = 64 << 20
	// minBackoff and maxBackoff are the first and the longest mean of the random
	// backoff before a read is retried.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 2 * time.Second
	// fullJitter draws the backoff from 0 to twice the mean.
	fullJitter = 1
)

// retry repeats a read that fails as Unavailable, up to the maximum number of
// attempts and as long as the retry budget allows it.
func retry[T any](ctx context.Context, c *client, read func() (T, error)) (T, error) {
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval = minBackoff
	delays.MaxInterval = maxBackoff
	delays.RandomizationFactor = fullJitter
	var last error
	attempts := uint(0)
	value, err := backoff.Retry(ctx, func() (T, error) {
		value, err := read()
		last = err
		attempts++
		if !qherr.Is(err, qherr.Unavailable) {
			c.retryBudget.deposit()
		} else if attempts < c.MaxAttempts && c.retryBudget.tryWithdraw() {
			return value, err
		}
		if err != nil {
			err = backoff.Permanent(err)
		}
		return value, err
	}, backoff.WithBackOff(delays), backoff.WithMaxTries(c.MaxAttempts))
	if err != nil {
		return value, last
	}
	return value, nil
}

// rawResponse is a successful response of the platform.
type rawResponse struct {
	body []byte
	era  Era
}

// call makes one attempt and returns the response.
func (c *client) call(ctx context.Context, call Call) (rawResponse, error) {
	timeout, httpClient := c.Timeout, c.calls
	switch {
	case call.Op == OpWatchObject:
		timeout, httpClient = call.Wait+min(c.Timeout, objectWatchGrace), c.watches
	case call.Op.isWatch():
		timeout, httpClient = call.Wait+c.Timeout, c.watches
	case c.isBulk(call.Key):
		httpClient = c.bulk
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	start := time.Now()
	resp, err := c.attempt(ctx, httpClient, call)
	c.measure(call, start, resp.body, err)
	return resp, err
}

func (c *client) attempt(ctx context.Context, httpClient *http.Client, call Call) (rawResponse, error) {
	sent := new(atomic.Bool)
	request, err := c.buildRequest(ctx, call, sent)
	if err != nil {
		return rawResponse{}, err
	}
	if err := c.waitForLimits(ctx, call); err != nil {
		return rawResponse{}, qherr.New(qherr.Unavailable, err, "wait before the next call",
			"%s %s was not sent: the client's rate limit for the platform is reached", call.Op, call.Key)
	}
	c.addToCounter("qh_platform_calls_total", call.Op, 1)
	resp, err := httpClient.Do(request)
	if err != nil {
		c.closeIdleConnections() // they may be silent too
		return rawResponse{}, c.noResponseError(call, sent.Load(), err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := receive(ctx, call, resp.Body, resp.ContentLength)
	if errors.Is(err, ErrTooLong) {
		return rawResponse{}, err
	}
	if err != nil {
		return rawResponse{}, c.noResponseError(call, true, err)
	}
	if resp.StatusCode/100 != 2 {
		return rawResponse{}, c.Codec.DecodeError(call, resp.StatusCode, body)
	}
	return rawResponse{body: body, era: c.decodeEra(call, resp.Header)}, nil
}

// decodeEra returns the era of a response, or 0 if its header is missing or
// malformed.
func (c *client) decodeEra(call Call, header http.Header) Era {
	era, err := c.Codec.DecodeEra(header)
	if err != nil {
		c.Log.Warn("era of the store cannot be decoded; the response counts as one without it", zap.String("op", string(call.Op)), zap.Error(err))
	}
	return era
}

func (c *client) isBulk(key Key) bool {
	return c.BulkPrefix != "" && strings.HasPrefix(string(key), string(c.BulkPrefix))
}

// waitForLimits waits until the rate limits allow the call.
func (c *client) waitForLimits(ctx context.Context, call Call) error {
	if c.isBulk(call.Key) {
		if err := c.bulkLimiter.Wait(ctx); err != nil {
			return err
		}
	}
	return c.limiter.Wait(ctx)
}

// buildRequest returns the HTTP request. sent is set once the request has a
// connection; from then on a write may take effect.
func (c *client) buildRequest(ctx context.Context, call Call, sent *atomic.Bool) (*http.Request, error) {
	if c.baseURL == nil || c.baseURL.Host == "" {
		return nil, qherr.New(qherr.BadInput, nil, "set it as in http://10.0.0.1:7000", "%q is not a valid URL of the platform", c.BaseURL)
	}
	if call.Op != OpList && call.Op != OpWatchPrefix {
		if err := call.Key.Check(); err != nil {
			return nil, err
		}
	}
	encoded := c.Codec.Encode(call)
	requestURL := c.baseURL.JoinPath(encoded.Path)
	requestURL.RawQuery = encoded.Query.Encode()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	})
	request, err := http.NewRequestWithContext(ctx, encoded.Method, requestURL.String(), bytes.NewReader(encoded.Body))
	if err != nil {
		return nil, qherr.New(qherr.BadInput, err, "set it as in http://10.0.0.1:7000", "the platform's URL gives an invalid request")
	}
	if encoded.Header != nil {
		request.Header = encoded.Header
	}
	return request, nil
}

// noResponseError returns the error of a call without a complete response.
func (c *client) noResponseError(call Call, sent bool, cause error) error {
	if sent && call.Op.isWrite() {
		return lostResponseError(cause, call.Op, call.Key)
	}
	return qherr.New(qherr.Unavailable, cause, "check that the platform runs at "+c.BaseURL,
		"no response from the platform to %s %s", call.Op, call.Key)
}

// checkDecoded turns the error of a response that cannot be decoded into an
// Unavailable error.
func checkDecoded[T any](value T, err error) (T, error) {
	if err == nil {
		return value, nil
	}
	return value, qherr.New(qherr.Unavailable, err, "try again", "the platform's response cannot be decoded")
}

func (c *client) addToCounter(name string, op Operation, n int) {
	c.Metrics.GetOrCreateCounter(fmt.Sprintf("%s{op=%q}", name, op)).Add(n)
}

func (c *client) measure(call Call, start time.Time, body []byte, err error) {
	c.addToCounter("qh_platform_sent_bytes_total", call.Op, len(call.Value))
	c.addToCounter("qh_platform_received_bytes_total", call.Op, len(body))
	if call.Op != OpWatchObject {
		c.Metrics.GetOrCreateHistogram(fmt.Sprintf("qh_platform_call_seconds{op=%q}", call.Op)).UpdateDuration(start)
	}
	if err == nil || qherr.Is(err, qherr.NotFound) {
		return
	}
	kind := qherr.KindOf(err)
	c.Metrics.GetOrCreateCounter(fmt.Sprintf(`qh_platform_errors_total{op=%q,kind=%q}`, call.Op, kind)).Inc()
	c.Log.Debug("platform call failed", zap.String("op", string(call.Op)), zap.String("key", string(call.Key)), zap.Error(err))
}
