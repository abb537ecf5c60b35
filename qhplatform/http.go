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

	"quetzalhaven.dev/qherr"
	"quetzalhaven.dev/qhstream"
)

// Defaults of HTTPOptions.
const (
	defaultTimeout        = 2 * time.Second
	defaultWatchTimeout   = 2 * time.Second
	defaultRateLimit      = 50
	defaultMaxAttempts    = 4
	defaultMaxConnections = 4
	// objectWatchGrace is how much longer than it was asked to hold a watch of an
	// object the platform may take to respond. With the default wait a silent
	// connection is noticed after 3 s.
	objectWatchGrace = time.Second
	// bulkRateShare is the share of the rate limit that calls for keys under
	// BulkPrefix may use.
	bulkRateShare = 0.8
	idleTimeout   = 5 * time.Second
	// keepAliveIdle, keepAliveInterval and keepAliveCount are TCP keep-alive
	// settings. They detect connections that fail without a reset while a call
	// waits on them.
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 3
)

// HTTPOptions configures NewHTTP. BaseURL is required.
type HTTPOptions struct {
	// BaseURL is the platform's URL without the path of the object API.
	BaseURL string
	// Timeout bounds one attempt of a call; 2 s if it is 0.
	Timeout time.Duration
	// WatchTimeout is how long the platform is asked to hold a watch; 2 s if it is
	// 0. A watch of a prefix without a response after this time and Timeout has
	// failed, one of an object sooner.
	WatchTimeout time.Duration
	// RateLimit is the maximum number of calls per second, retries included; 50 if
	// it is 0.
	RateLimit float64
	// Burst is the number of calls that may be made at once; RateLimit if it is 0.
	Burst int
	// BulkPrefix is the prefix of keys that are written for each call of a caller,
	// such as claims of idempotency keys; empty for none. Their calls have separate
	// connections and at most four fifths of the rate limit, so that they do not
	// delay the others.
	BulkPrefix Key
	// MaxAttempts is the maximum number of attempts of a read; 4 if it is 0. Writes
	// have one attempt.
	MaxAttempts uint
	// MaxConnections bounds the open connections, separately for calls, for watches
	// and for calls with keys under BulkPrefix; 4 if it is 0.
	MaxConnections int
	// Codec encodes calls and decodes responses; the codec of NewHandler if nil.
	Codec *Codec
	// Dial opens the connections; TCP with keep-alive if it is nil.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Metrics may be nil.
	Metrics *metrics.Set
	// Log may be nil.
	Log *zap.Logger
}

// client calls the object API over HTTP.
type client struct {
	HTTPOptions
	baseURL *url.URL
	calls   *http.Client
	watches *http.Client
	bulk    *http.Client
	// limiter bounds all calls. Calls with keys under BulkPrefix also need
	// bulkLimiter.
	limiter     *rate.Limiter
	bulkLimiter *rate.Limiter
	retryBudget *retryBudget
}

// NewHTTP returns a client of the platform at the base URL, and a function that
// closes its idle connections. A call that the rate limit would delay past its
// deadline fails as Unavailable. Only reads are retried, and not while most calls
// fail.
func NewHTTP(opts HTTPOptions) (Store, func()) {
	c := &client{HTTPOptions: withDefaults(opts)}
	c.baseURL, _ = url.Parse(c.BaseURL) // with a nil baseURL each call fails as BadInput
	c.calls = c.newHTTPClient()
	c.watches = c.newHTTPClient()
	c.bulk = c.newHTTPClient()
	c.limiter = rate.NewLimiter(rate.Limit(c.RateLimit), c.Burst)
	c.bulkLimiter = rate.NewLimiter(rate.Limit(bulkRateShare*c.RateLimit), max(1, int(bulkRateShare*float64(c.Burst))))
	c.retryBudget = newRetryBudget()
	store := Store{
		Get:          c.get,
		Create:       c.create,
		Update:       c.update,
		UpdateStatus: c.updateStatus,
		Delete:       c.delete,
		List:         c.list,
		ListAt:       c.listAt,
		WatchPrefix:  c.watchPrefix,
		WatchObject:  c.watchObject,
	}
	return store, c.closeIdleConnections
}

func (c *client) closeIdleConnections() {
	c.calls.CloseIdleConnections()
	c.watches.CloseIdleConnections()
	c.bulk.CloseIdleConnections()
}

func withDefaults(opts HTTPOptions) HTTPOptions {
	opts.Timeout = orDefault(opts.Timeout, defaultTimeout)
	opts.WatchTimeout = orDefault(opts.WatchTimeout, defaultWatchTimeout)
	opts.RateLimit = orDefault(opts.RateLimit, defaultRateLimit)
	opts.Burst = orDefault(opts.Burst, max(1, int(opts.RateLimit)))
	opts.MaxAttempts = orDefault(opts.MaxAttempts, defaultMaxAttempts)
	opts.MaxConnections = orDefault(opts.MaxConnections, defaultMaxConnections)
	if opts.Codec == nil {
		opts.Codec = defaultCodec()
	}
	if opts.Dial == nil {
		dialer := &net.Dialer{Timeout: defaultTimeout, KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		}}
		opts.Dial = dialer.DialContext
	}
	opts.Dial = qhstream.Dialer(opts.Dial)
	if opts.Metrics == nil {
		opts.Metrics = metrics.NewSet()
	}
	if opts.Log == nil {
		opts.Log = zap.NewNop()
	}
	return opts
}

func orDefault[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}
	return value
}

// newHTTPClient returns an HTTP client that follows no redirects, since a redirect
// would send a write twice.
func (c *client) newHTTPClient() *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         c.Dial,
			MaxConnsPerHost:     c.MaxConnections,
			MaxIdleConnsPerHost: c.MaxConnections,
			IdleConnTimeout:     idleTimeout,
			DisableCompression:  true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

func (c *client) get(ctx context.Context, key Key) (Object, error) {
	return retry(ctx, c, func() (Object, error) {
		response, err := c.call(ctx, Call{Op: OpGet, Key: key})
		if err != nil {
			return Object{}, err
		}
		return checkDecoded(c.Codec.DecodeObject(key, response.body))
	})
}

func (c *client) list(ctx context.Context, prefix Key) ([]Object, error) {
	listing, err := c.listAt(ctx, prefix)
	return listing.Objects, err
}

// listAt reads all pages of a listing. An object that changes between two pages is
// among the changes after the revision of the first page.
func (c *client) listAt(ctx context.Context, prefix Key) (Listing, error) {
	var listing Listing
	for after := Key(""); ; {
		page, err := retry(ctx, c, func() (Listing, error) {
			response, err := c.call(ctx, Call{Op: OpList, Key: prefix, After: after})
			if err != nil {
				return Listing{}, err
			}
			page, err := c.Codec.DecodeListing(prefix, response.body)
			page.Era = response.era
			c.recordUnreadable(prefix, page.Unreadable)
			return checkDecoded(page, err)
		})
		if err != nil {
			return Listing{}, err
		}
		if after == "" {
			listing.Revision, listing.Era = page.Revision, page.Era
		}
		if page.Era != 0 && listing.Era != 0 && page.Era != listing.Era {
			return Listing{}, qherr.New(qherr.Unavailable, nil, "list it again", "the platform was restored from a copy between two pages of %s", prefix)
		}
		listing.Objects = append(listing.Objects, page.Objects...)
		if page.ContinueAfter == "" || page.ContinueAfter == after {
			return listing, nil
		}
		after = page.ContinueAfter
	}
}

func (c *client) create(ctx context.Context, key Key, value []byte) (Revision, error) {
	return c.write(ctx, Call{Op: OpCreate, Key: key, Value: value})
}

func (c *client) update(ctx context.Context, key Key, value []byte, revision Revision) (Revision, error) {
	return c.write(ctx, Call{Op: OpUpdate, Key: key, Value: value, Revision: revision})
}

func (c *client) updateStatus(ctx context.Context, key Key, status []byte, revision Revision) (Revision, error) {
	return c.write(ctx, Call{Op: OpStatus, Key: key, Value: status, Revision: revision})
}

func (c *client) delete(ctx context.Context, key Key, revision Revision) error {
	_, err := c.write(ctx, Call{Op: OpDelete, Key: key, Revision: revision})
	return err
}

func (c *client) write(ctx context.Context, call Call) (Revision, error) {
	if err := checkValue(call.Key, call.Value); err != nil {
		return 0, err
	}
	response, err := c.call(ctx, call)
	if err != nil {
		return 0, err
	}
	object, err := c.Codec.DecodeObject(call.Key, response.body)
	if err != nil {
		return 0, lostResponseError(err, call.Op, call.Key)
	}
	return object.Revision, nil
}

// watchObject makes one call. Its caller repeats it after NotFound.
func (c *client) watchObject(ctx context.Context, key Key, after Revision) (Object, error) {
	response, err := c.call(ctx, Call{Op: OpWatchObject, Key: key, Revision: after, Wait: c.WatchTimeout})
	if err != nil {
		return Object{}, err
	}
	object, err := checkDecoded(c.Codec.DecodeObject(key, response.body))
	if err == nil && object.Revision <= after {
		return Object{}, notChangedError(key, after)
	}
	return object, err
}

func (c *client) watchPrefix(ctx context.Context, prefix Key, after Revision, wait time.Duration) (Changes, error) {
	response, err := c.call(ctx, Call{Op: OpWatchPrefix, Key: prefix, Revision: after, Wait: orDefault(wait, c.WatchTimeout)})
	if err != nil {
		return Changes{}, err
	}
	changes, err := c.Codec.DecodeChanges(prefix, response.body)
	changes.Era = response.era
	c.recordUnreadable(prefix, changes.Unreadable)
	return checkDecoded(changes, err)
}

// recordUnreadable records the objects of a response that cannot be decoded.
func (c *client) recordUnreadable(prefix Key, unreadable []error) {
	for _, err := range unreadable {
		c.Metrics.GetOrCreateCounter("qh_platform_unreadable_objects_total").Inc()
		c.Log.Warn("object cannot be decoded and is left out", zap.String("prefix", string(prefix)), zap.Error(err))
	}
}
