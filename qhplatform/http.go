package qhplatform

import (
	"context"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"
	"golang.org/x/time/rate"
)

// Defaults of HTTPOptions.
const (
	defaultTimeout = 2 * time.Second
	defaultWait    = 4 * time.Second
	defaultRate    = 50
	defaultTries   = 4
	defaultConns   = 4
	// bulkShare is the part of the rate that bulk keys may use.
	bulkShare   = 0.8
	idleTimeout = 5 * time.Second
)

// HTTPOptions are the options of NewHTTP. Base is required.
type HTTPOptions struct {
	// Base is the platform's URL without the path of the object API.
	Base string
	// Timeout bounds one try of a call; 2 s where it is 0.
	Timeout time.Duration
	// Wait is how long the platform is asked to hold a watch; 4 s where it is 0.
	// A watch without an answer for that and Timeout went silent.
	Wait time.Duration
	// Rate is the most calls a second, repeats included; 50 where it is 0.
	Rate float64
	// Burst is how many calls may follow each other at once; those of one second
	// where it is 0.
	Burst int
	// Bulk is the prefix of keys that are used as often as calls come in; empty
	// for none. Their calls have connections of their own and at most four fifths
	// of the rate, so that they do not hold up the others.
	Bulk Key
	// Tries is the most tries of a read; 4 where it is 0. Writes have one.
	Tries uint
	// Connections bounds the open connections for calls, and for watches; 4 where it is 0.
	Connections int
	// Metrics may be nil.
	Metrics *metrics.Set
	// Log may be nil.
	Log *zap.Logger
}

// client calls the object API over HTTP.
type client struct {
	HTTPOptions
	base    *url.URL
	calls   *http.Client
	watches *http.Client
	bulk    *http.Client
	// limiter bounds all calls, bulkLimiter those of bulk keys besides.
	limiter     *rate.Limiter
	bulkLimiter *rate.Limiter
	budget      *budget
}

// NewHTTP returns the platform at the base URL and its clean-up, which closes
// idle connections. A call that the limiter would hold past its deadline is
// Unavailable. Only reads are tried again, and not while most calls fail.
func NewHTTP(opts HTTPOptions) (Store, func()) {
	c := &client{HTTPOptions: withDefaults(opts)}
	c.base, _ = url.Parse(c.Base) // a nil base fails each call as BadInput
	c.calls = newHTTPClient(c.Connections)
	c.watches = newHTTPClient(c.Connections)
	c.bulk = newHTTPClient(c.Connections)
	c.limiter = rate.NewLimiter(rate.Limit(c.Rate), c.Burst)
	c.bulkLimiter = rate.NewLimiter(rate.Limit(bulkShare*c.Rate), max(1, int(bulkShare*float64(c.Burst))))
	c.budget = newBudget()
	store := Store{
		Get:    c.get,
		Create: c.create,
		Update: c.update,
		Delete: c.delete,
		List:   c.list,
		Watch:  c.watch,
	}
	return store, func() {
		c.calls.CloseIdleConnections()
		c.watches.CloseIdleConnections()
		c.bulk.CloseIdleConnections()
	}
}

func withDefaults(opts HTTPOptions) HTTPOptions {
	opts.Timeout = orDefault(opts.Timeout, defaultTimeout)
	opts.Wait = orDefault(opts.Wait, defaultWait)
	opts.Rate = orDefault(opts.Rate, defaultRate)
	opts.Burst = orDefault(opts.Burst, max(1, int(opts.Rate)))
	opts.Tries = orDefault(opts.Tries, defaultTries)
	opts.Connections = orDefault(opts.Connections, defaultConns)
	if opts.Metrics == nil {
		opts.Metrics = metrics.NewSet()
	}
	if opts.Log == nil {
		opts.Log = zap.NewNop()
	}
	return opts
}

func orDefault[T comparable](value, preset T) T {
	var zero T
	if value == zero {
		return preset
	}
	return value
}

// newHTTPClient returns a client that follows no redirects, since a redirect
// would send a write again.
func newHTTPClient(connections int) *http.Client {
	dialer := &net.Dialer{Timeout: defaultTimeout}
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			MaxConnsPerHost:     connections,
			MaxIdleConnsPerHost: connections,
			IdleConnTimeout:     idleTimeout,
			DisableCompression:  true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

func (c *client) get(ctx context.Context, key Key) (Object, error) {
	return retry(ctx, c, func() (Object, error) {
		return decoded[Object](c.call(ctx, request{op: OpGet, key: key}))
	})
}

func (c *client) list(ctx context.Context, prefix Key) ([]Object, error) {
	query := url.Values{"prefix": {string(prefix)}}
	return retry(ctx, c, func() ([]Object, error) {
		return decoded[[]Object](c.call(ctx, request{op: OpList, key: prefix, query: query}))
	})
}

func (c *client) create(ctx context.Context, key Key, value []byte) (Revision, error) {
	return c.write(ctx, request{op: OpCreate, key: key, value: value})
}

func (c *client) update(ctx context.Context, key Key, value []byte, at Revision) (Revision, error) {
	return c.write(ctx, request{op: OpUpdate, key: key, value: value, at: at})
}

func (c *client) delete(ctx context.Context, key Key, at Revision) error {
	_, err := c.write(ctx, request{op: OpDelete, key: key, at: at})
	return err
}

func (c *client) write(ctx context.Context, req request) (Revision, error) {
	if err := checkValue(req.key, req.value); err != nil {
		return 0, err
	}
	body, err := c.call(ctx, req)
	if err != nil {
		return 0, err
	}
	object, err := decoded[Object](body, nil)
	if err != nil {
		return 0, lostAnswer(err, req.op, req.key)
	}
	return object.Revision, nil
}

// watch waits for one bounded time. Whoever watches asks again after NotFound.
func (c *client) watch(ctx context.Context, key Key, after Revision) (Object, error) {
	query := url.Values{
		"watch": {strconv.FormatUint(uint64(after), 10)},
		"wait":  {c.Wait.String()},
	}
	object, err := decoded[Object](c.call(ctx, request{op: OpWatch, key: key, query: query}))
	if err == nil && object.Revision <= after {
		return Object{}, notChanged(key, after)
	}
	return object, err
}
