package qhhold

import (
	"sync"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"quetzalhaven.dev/qhconfig"
	"quetzalhaven.dev/qherr"
	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhroute"
	"quetzalhaven.dev/qhstatus"
)

// Options are the parts that a Holder uses.
type Options struct {
	// Node is the holder's node, as its refusals name it.
	Node qhid.Node
	// Log may be nil.
	Log *zap.Logger
	// Metrics may be nil.
	Metrics *metrics.Set
}

// Holder holds one configuration version: all of it, and never an older one
// than it has held before.
type Holder struct {
	node    qhid.Node
	log     *zap.Logger
	counts  counts
	current atomic.Pointer[Snapshot]

	// mu orders the offers. Reading the current snapshot does not take it.
	mu sync.Mutex
	// digester knows the entries of the current snapshot.
	digester qhconfig.Digester
	// refused has the versions above the current one that were kept out.
	refused refusals
	// changed is closed by the next swap.
	changed chan struct{}
}

// New returns a holder that holds nothing yet.
func New(options Options) *Holder {
	if options.Log == nil {
		options.Log = zap.NewNop()
	}
	if options.Metrics == nil {
		options.Metrics = metrics.NewSet()
	}
	holder := &Holder{node: options.Node, log: options.Log, changed: make(chan struct{})}
	holder.counts = newCounts(options.Metrics, holder)
	return holder
}

// Current returns what is held, or nil before the first version.
func (h *Holder) Current() *Snapshot { return h.current.Load() }

// Version returns the version that is held, 0 before the first.
func (h *Holder) Version() qhid.Version {
	if snapshot := h.Current(); snapshot != nil {
		return snapshot.Version
	}
	return 0
}

// Changed returns a channel that is closed by the next swap. Whoever waits
// takes the channel first and reads Current then.
func (h *Holder) Changed() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.changed
}

// Refusals returns the versions that are kept out, ordered by version. Those
// below the version that is held are forgotten.
func (h *Holder) Refusals() []qhstatus.Refusal {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.refused.list(h.node)
}

// Apply puts a whole version in force. It returns true where it did, false
// where the version is not newer than the one that is held, and an error of
// kind Refused where the version is bad. The holder keeps config, which must
// not be changed any more.
func (h *Holder) Apply(version qhid.Version, config qhconfig.Config, digest qhid.Digest) (bool, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if newer, err := h.newer(version, digest); !newer {
		return false, err
	}
	digester := h.digester
	if sum := digester.Digest(config); sum != digest {
		err := qherr.New(qherr.Refused, nil, "ask another peer for it", "version %d has digest %s, not %s", version, sum, digest)
		return false, h.refuse(version, "", err)
	}
	return h.admit(version, config, digest, digester)
}

// ApplyWithoutDigest is Offer for a version whose digest nobody told.
func (h *Holder) ApplyWithoutDigest(version qhid.Version, config qhconfig.Config) (bool, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	digester := h.digester
	digest := digester.Digest(config)
	if newer, err := h.newer(version, digest); !newer {
		return false, err
	}
	return h.admit(version, config, digest, digester)
}

// ApplyDiff puts the result of a diff in force. It returns what Offer returns,
// and an error of kind Conflict where the diff does not apply to the version
// that is held, so that the whole version has to be asked for.
func (h *Holder) ApplyDiff(diff qhconfig.Diff) (bool, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if newer, err := h.newer(diff.Next, diff.Digest); !newer {
		return false, err
	}
	held, base := h.held()
	if held != diff.Base {
		h.counts.unbased.Inc()
		return false, qherr.New(qherr.Conflict, nil, "ask for the whole version",
			"the diff from version %d to %d does not apply to version %d", diff.Base, diff.Next, held)
	}
	config := diff.Merge(base)
	digester := h.digester
	if sum := digester.Digest(config); sum != diff.Digest {
		h.counts.unbased.Inc()
		return false, qherr.New(qherr.Conflict, nil, "ask for the whole version",
			"the diff from version %d to %d gives digest %s, not %s", diff.Base, diff.Next, sum, diff.Digest)
	}
	return h.admit(diff.Next, config, diff.Digest, digester)
}

// held returns the version that is held and its configuration.
func (h *Holder) held() (qhid.Version, qhconfig.Config) {
	if snapshot := h.Current(); snapshot != nil {
		return snapshot.Version, snapshot.Config
	}
	return 0, qhconfig.Config{}
}

// newer tells whether a version is worth a look. A version that was refused
// with the same digest is refused again for the same reason.
func (h *Holder) newer(version qhid.Version, digest qhid.Digest) (bool, error) {
	snapshot := h.Current()
	if snapshot != nil && version == snapshot.Version && digest != snapshot.Digest {
		h.counts.forked.Inc()
		h.log.Error("version has two digests", zap.Uint64("version", uint64(version)),
			zap.String("held", string(snapshot.Digest)), zap.String("offered", string(digest)))
		return false, qherr.New(qherr.Refused, nil, "check which one the head has on the platform",
			"version %d is held with digest %s and was offered with %s", version, snapshot.Digest, digest)
	}
	if version <= h.Version() {
		h.counts.stale.Inc()
		return false, nil
	}
	if err := h.refused.find(version, digest); err != nil {
		h.counts.refused.Inc()
		return false, err
	}
	return true, nil
}

// admit checks a candidate whole and swaps it in.
func (h *Holder) admit(version qhid.Version, config qhconfig.Config, digest qhid.Digest, digester qhconfig.Digester) (bool, error) {
	if err := config.Check(); err != nil {
		return false, h.refuse(version, digest, err)
	}
	before := h.Version()
	h.current.Store(newSnapshot(version, config, digest))
	h.digester = digester
	h.refused.forget(version)
	close(h.changed)
	h.changed = make(chan struct{})
	h.counts.applied.Inc()
	h.log.Info("configuration in force", zap.Uint64("version", uint64(version)), zap.Uint64("before", uint64(before)),
		zap.String("digest", string(digest)), zap.Int("services", len(config.Services)), zap.Int("routes", len(config.Routes)))
	return true, nil
}

// refuse keeps a version out and tells so. An empty digest marks content that
// is not the version's own, which another offer may bring.
func (h *Holder) refuse(version qhid.Version, digest qhid.Digest, err error) error {
	h.counts.refused.Inc()
	h.refused.add(version, digest, err)
	h.log.Error("configuration kept out", zap.Uint64("version", uint64(version)),
		zap.Uint64("held", uint64(h.Version())), zap.Error(err))
	return err
}

func newSnapshot(version qhid.Version, config qhconfig.Config, digest qhid.Digest) *Snapshot {
	services := make(map[qhid.Service]*qhconfig.Service, len(config.Services))
	for i := range config.Services {
		services[config.Services[i].Name] = &config.Services[i]
	}
	return &Snapshot{
		Version:  version,
		Digest:   digest,
		Config:   config,
		Services: services,
		Index:    qhroute.NewIndex(config.Routes),
	}
}
