package qhhold

import (
	"slices"
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

// maxLoggedProblems bounds the problems of one configuration that are logged.
const maxLoggedProblems = 8

// Options configures a Holder.
type Options struct {
	// Node is the id of the holder's node, which its refusals carry.
	Node qhid.Node
	// Log may be nil.
	Log *zap.Logger
	// Metrics may be nil.
	Metrics *metrics.Set
}

// Holder holds the configuration version that is in force, the current version. A
// version is applied completely or not at all, and never replaced by an older one.
// It is safe for concurrent use.
type Holder struct {
	node     qhid.Node
	log      *zap.Logger
	counters applyCounters
	current  atomic.Pointer[Snapshot]

	// mu serializes changes. Reading the current snapshot does not take it.
	mu sync.Mutex
	// digester caches the digests of the entries of the current snapshot.
	digester qhconfig.Digester
	// refusals has the refused versions above the current one.
	refusals refusalLog
	// changed is closed and replaced whenever the current version changes.
	changed chan struct{}
}

// New returns a holder without a version.
func New(options Options) *Holder {
	if options.Log == nil {
		options.Log = zap.NewNop()
	}
	if options.Metrics == nil {
		options.Metrics = metrics.NewSet()
	}
	holder := &Holder{node: options.Node, log: options.Log, changed: make(chan struct{})}
	holder.counters = newApplyCounters(options.Metrics, holder)
	return holder
}

// Current returns the current snapshot, or nil before the first version.
func (h *Holder) Current() *Snapshot { return h.current.Load() }

// Version returns the current version, or 0 before the first.
func (h *Holder) Version() qhid.Version {
	if snapshot := h.Current(); snapshot != nil {
		return snapshot.Version
	}
	return 0
}

// Changed returns a channel that is closed when the current version changes next. To
// miss no change, get the channel before reading Current.
func (h *Holder) Changed() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.changed
}

// Refusals returns the refused versions above the current one, ordered by version.
func (h *Holder) Refusals() []qhstatus.Refusal {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.refusals.list(h.node)
}

// Apply puts a full version in force. It returns true if the version was applied,
// false if it is not newer than the current one, and an error of kind Refused if it
// is invalid. The holder keeps config, which must not be modified afterwards.
func (h *Holder) Apply(version qhid.Version, config qhconfig.Config, digest qhid.Digest) (bool, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if newer, err := h.checkNewer(version, digest); !newer {
		return false, err
	}
	digester := h.digester
	if computed := digester.Digest(config); computed != digest {
		err := qherr.New(qherr.Refused, nil, "request it from another peer", "version %d has digest %s, expected %s", version, computed, digest)
		return false, h.refuse(version, "", err)
	}
	return h.validateAndSwap(version, config, digest, digester, qhconfig.Config.Check)
}

// ApplyWithoutDigest is Apply for a version whose digest the sender did not
// provide.
func (h *Holder) ApplyWithoutDigest(version qhid.Version, config qhconfig.Config) (bool, error) {
	return h.applyWithoutDigest(version, config, qhconfig.Config.Check)
}

func (h *Holder) applyWithoutDigest(version qhid.Version, config qhconfig.Config, check func(qhconfig.Config) error) (bool, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	digester := h.digester
	digest := digester.Digest(config)
	if newer, err := h.checkNewer(version, digest); !newer {
		return false, err
	}
	return h.validateAndSwap(version, config, digest, digester, check)
}

// ApplyRepaired is ApplyWithoutDigest for a version that operators wrote without a
// check of the product, by the rules of CheckUsable. An invalid configuration is repaired
// first, so that its other parts are in force. problems are those found while it was
// decoded.
func (h *Holder) ApplyRepaired(version qhid.Version, config qhconfig.Config, problems []qhconfig.Problem) (bool, error) {
	if config.CheckUsable() != nil {
		repaired, found := config.Repair()
		config, problems = repaired, slices.Concat(problems, found)
	}
	applied, err := h.applyWithoutDigest(version, config, qhconfig.Config.CheckUsable)
	if err == nil && len(problems) > 0 {
		h.recordProblems(version, problems)
	}
	return applied, err
}

// recordProblems adds the problems to the snapshot of the version and logs them,
// unless that was done before or a newer version is in force.
func (h *Holder) recordProblems(version qhid.Version, problems []qhconfig.Problem) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.Version() != version || h.Current().Problems != nil {
		return
	}
	snapshot := *h.Current()
	snapshot.Problems = problems
	h.current.Store(&snapshot)
	texts := make([]string, min(len(problems), maxLoggedProblems))
	for i := range texts {
		texts[i] = problems[i].String()
	}
	h.log.Warn("configuration repaired", zap.Uint64("version", uint64(version)),
		zap.Int("count", len(problems)), zap.Strings("problems", texts))
}

// ApplyDiff applies a diff to the current version and puts the result in force. It
// returns what Apply returns, and an error of kind Conflict if the diff does not
// apply to the current version; the caller then has to fetch the full version.
func (h *Holder) ApplyDiff(diff qhconfig.Diff) (bool, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if newer, err := h.checkNewer(diff.Next, diff.Digest); !newer {
		return false, err
	}
	current, base := h.currentConfig()
	if current != diff.Base {
		h.counters.inapplicable.Inc()
		return false, qherr.New(qherr.Conflict, nil, "request the full configuration",
			"the diff from version %d to %d does not apply to version %d", diff.Base, diff.Next, current)
	}
	config := diff.Merge(base)
	digester := h.digester
	if computed := digester.Digest(config); computed != diff.Digest {
		h.counters.inapplicable.Inc()
		return false, qherr.New(qherr.Conflict, nil, "request the full configuration",
			"the diff from version %d to %d results in digest %s, expected %s", diff.Base, diff.Next, computed, diff.Digest)
	}
	return h.validateAndSwap(diff.Next, config, diff.Digest, digester, qhconfig.Config.Check)
}

// currentConfig returns the current version and its configuration, or zero values
// before the first.
func (h *Holder) currentConfig() (qhid.Version, qhconfig.Config) {
	if snapshot := h.Current(); snapshot != nil {
		return snapshot.Version, snapshot.Config
	}
	return 0, qhconfig.Config{}
}

// checkNewer returns true for a version that may be applied. It counts the others
// as stale, conflicting or refused, and logs conflicts. It returns an error of kind
// Refused for different content of the current version, and the earlier error for a
// version that was refused before with the same digest.
func (h *Holder) checkNewer(version qhid.Version, digest qhid.Digest) (bool, error) {
	snapshot := h.Current()
	if snapshot != nil && version == snapshot.Version && digest != snapshot.Digest {
		h.counters.conflicting.Inc()
		h.log.Error("conflicting digests for configuration version", zap.Uint64("version", uint64(version)),
			zap.String("held", string(snapshot.Digest)), zap.String("received", string(digest)))
		return false, qherr.New(qherr.Refused, nil, "compare with the head on the platform",
			"version %d is in force with digest %s, but was received with digest %s", version, snapshot.Digest, digest)
	}
	if version <= h.Version() {
		h.counters.stale.Inc()
		return false, nil
	}
	if err := h.refusals.find(version, digest); err != nil {
		h.counters.refused.Inc()
		return false, err
	}
	return true, nil
}

// validateAndSwap validates a new version by check and puts it in force.
func (h *Holder) validateAndSwap(version qhid.Version, config qhconfig.Config, digest qhid.Digest, digester qhconfig.Digester, check func(qhconfig.Config) error) (bool, error) {
	if err := check(config); err != nil {
		return false, h.refuse(version, digest, err)
	}
	previous := h.Version()
	h.current.Store(newSnapshot(version, config, digest))
	h.digester = digester
	h.refusals.removeUpTo(version)
	close(h.changed)
	h.changed = make(chan struct{})
	h.counters.applied.Inc()
	// Package qhsite reads this message and its fields from the log.
	h.log.Info("configuration in force", zap.Uint64("version", uint64(version)), zap.Uint64("before", uint64(previous)),
		zap.String("digest", string(digest)), zap.Int("services", len(config.Services)), zap.Int("routes", len(config.Routes)))
	return true, nil
}

// refuse records and logs a refused version. digest is empty if the content did not
// match the version's digest, since another sender may have the right content.
func (h *Holder) refuse(version qhid.Version, digest qhid.Digest, err error) error {
	h.counters.refused.Inc()
	h.refusals.add(version, digest, err)
	h.log.Error("configuration refused", zap.Uint64("version", uint64(version)),
		zap.Uint64("held", uint64(h.Version())), zap.Error(err))
	return err
}

func newSnapshot(version qhid.Version, config qhconfig.Config, digest qhid.Digest) *Snapshot {
	services := make(map[qhid.Service]*qhconfig.Service, len(config.Services))
	for i := range config.Services {
		services[config.Services[i].Name] = &config.Services[i]
	}
	keys := make(map[qhconfig.KeyDigest]*qhconfig.Tenant)
	for i := range config.Tenants {
		for _, key := range config.Tenants[i].Keys {
			keys[key] = &config.Tenants[i]
		}
	}
	return &Snapshot{
		Keys:     keys,
		Version:  version,
		Digest:   digest,
		Config:   config,
		Services: services,
		Index:    qhroute.NewIndex(config.Routes),
	}
}
