package qhplatform

import (
	"context"
	"net"
	"net/http"
	"net/url"
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
	// probeIdle, probeInterval and probeCount find connections that went silent
	// while a call waits on them.
	probeIdle     = time.Second
	probeInterval = 500 * time.Millisecond
	probeCount    = 3
)

// HTTPOptions are the options of NewHTTP. Base is required.
type HTTPOptions struct {
	// BaseURL is the platform's URL without the path of the object API.
	BaseURL string
	// Timeout bounds one try of a call; 2 s where it is 0.
	Timeout time.Duration
	// WatchTimeout is how long the platform is asked to hold a watch; 4 s where it is 0.
	// A watch without an answer for that and Timeout went silent.
	WatchTimeout time.Duration
	// RateLimit is the most calls a second, repeats included; 50 where it is 0.
	RateLimit float64
	// Burst is how many calls may follow each other at once; those of one second
	// where it is 0.
	Burst int
	// BulkPrefix is the prefix of keys that are used as often as calls come in; empty
	// for none. Their calls have connections of their own and at most four fifths
	// of the rate, so that they do not hold up the others.
	BulkPrefix Key
	// MaxAttempts is the most tries of a read; 4 where it is 0. Writes have one.
	MaxAttempts uint
	// MaxConnections bounds the open connections for calls, and for watches; 4 where it is 0.
	MaxConnections int
	// Codec is how calls are encoded; the object API's own where it is nil.
	Codec *Codec
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
	c.base, _ = url.Parse(c.BaseURL) // a nil base fails each call as BadInput
	c.calls = newHTTPClient(c.MaxConnections)
	c.watches = newHTTPClient(c.MaxConnections)
	c.bulk = newHTTPClient(c.MaxConnections)
	c.limiter = rate.NewLimiter(rate.Limit(c.RateLimit), c.Burst)
	c.bulkLimiter = rate.NewLimiter(rate.Limit(bulkShare*c.RateLimit), max(1, int(bulkShare*float64(c.Burst))))
	c.budget = newBudget()
	store := Store{
		Get:    c.get,
		Create: c.create,
		Update: c.update,
		Delete: c.delete,
		List:   c.list,
		ListAt: c.listAt,
		Follow: c.follow,
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
	opts.WatchTimeout = orDefault(opts.WatchTimeout, defaultWait)
	opts.RateLimit = orDefault(opts.RateLimit, defaultRate)
	opts.Burst = orDefault(opts.Burst, max(1, int(opts.RateLimit)))
	opts.MaxAttempts = orDefault(opts.MaxAttempts, defaultTries)
	opts.MaxConnections = orDefault(opts.MaxConnections, defaultConns)
	if opts.Codec == nil {
		opts.Codec = ownWire()
	}
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
	dialer := &net.Dialer{Timeout: defaultTimeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount,
	}}
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
		body, err := c.call(ctx, Call{Op: OpGet, Key: key})
		if err != nil {
			return Object{}, err
		}
		return readable(c.Codec.DecodeObject(key, body))
	})
}

func (c *client) list(ctx context.Context, prefix Key) ([]Object, error) {
	listing, err := c.listAt(ctx, prefix)
	return listing.Objects, err
}

// listAt reads all parts of a listing. What changes between two parts is among
// the changes after the revision of the first.
func (c *client) listAt(ctx context.Context, prefix Key) (Listing, error) {
	var whole Listing
	for after := Key(""); ; {
		part, err := retry(ctx, c, func() (Listing, error) {
			body, err := c.call(ctx, Call{Op: OpList, Key: prefix, After: after})
			if err != nil {
				return Listing{}, err
			}
			return readable(c.Codec.DecodeListing(prefix, body))
		})
		if err != nil {
			return Listing{}, err
		}
		if after == "" {
			whole.Revision = part.Revision
		}
		whole.Objects = append(whole.Objects, part.Objects...)
		if part.ContinueAfter == "" || part.ContinueAfter == after {
			return whole, nil
		}
		after = part.ContinueAfter
	}
}

func (c *client) create(ctx context.Context, key Key, value []byte) (Revision, error) {
	return c.write(ctx, Call{Op: OpCreate, Key: key, Value: value})
}

func (c *client) update(ctx context.Context, key Key, value []byte, at Revision) (Revision, error) {
	return c.write(ctx, Call{Op: OpUpdate, Key: key, Value: value, Revision: at})
}

func (c *client) delete(ctx context.Context, key Key, at Revision) error {
	_, err := c.write(ctx, Call{Op: OpDelete, Key: key, Revision: at})
	return err
}

func (c *client) write(ctx context.Context, call Call) (Revision, error) {
	if err := checkValue(call.Key, call.Value); err != nil {
		return 0, err
	}
	body, err := c.call(ctx, call)
	if err != nil {
		return 0, err
	}
	object, err := c.Codec.DecodeObject(call.Key, body)
	if err != nil {
		return 0, lostAnswer(err, call.Op, call.Key)
	}
	return object.Revision, nil
}

// watch waits for one bounded time. Whoever watches asks again after NotFound.
func (c *client) watch(ctx context.Context, key Key, after Revision) (Object, error) {
	body, err := c.call(ctx, Call{Op: OpWatch, Key: key, Revision: after, Wait: c.WatchTimeout})
	if err != nil {
		return Object{}, err
	}
	object, err := readable(c.Codec.DecodeObject(key, body))
	if err == nil && object.Revision <= after {
		return Object{}, notChanged(key, after)
	}
	return object, err
}

// follow waits for one bounded time.
func (c *client) follow(ctx context.Context, prefix Key, after Revision, wait time.Duration) (Changes, error) {
	body, err := c.call(ctx, Call{Op: OpFollow, Key: prefix, Revision: after, Wait: orDefault(wait, c.WatchTimeout)})
	if err != nil {
		return Changes{}, err
	}
	return readable(c.Codec.DecodeChanges(prefix, body))
}
