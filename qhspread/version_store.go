package qhspread

import (
	"slices"
	"sync"

	"go.uber.org/zap"

	"quetzalhaven.dev/qhconfig"
	"quetzalhaven.dev/qherr"
	"quetzalhaven.dev/qhhold"
	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhwire"
)

// maxDiffs is the number of diffs kept for peers that are a few versions
// behind.
const maxDiffs = 32

// versionStore has the newest version known to a node, which need not be in force
// there, and the diffs that led to it. Versions are offered to the holder, which
// puts them in force, and are passed on to other nodes even if this node's
// holder refuses them: a local validation failure must not block a version for
// all nodes below this one in the distribution tree.
type versionStore struct {
	holder *qhhold.Holder
	log    *zap.Logger

	mu sync.Mutex
	// synced is set by release. Until then versions are known, and not in force: an
	// older one may arrive first.
	synced bool
	// version is the newest known version. It never decreases.
	version  qhid.Version
	digest   qhid.Digest
	config   qhconfig.Config
	digester qhconfig.Digester
	// diffs are consecutive; the last one results in version.
	diffs []qhconfig.Diff
}

func newVersionStore(holder *qhhold.Holder, log *zap.Logger) *versionStore {
	v := &versionStore{holder: holder, log: log}
	if current := holder.Current(); current != nil {
		v.version, v.digest, v.config = current.Version, current.Digest, current.Config
	}
	return v
}

// latest returns the newest known version and its digest.
func (v *versionStore) latest() (qhid.Version, qhid.Digest) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.version, v.digest
}

// applyDiff applies a diff and reports whether it resulted in a newer version. An
// error of kind Conflict means that the full configuration must be requested.
func (v *versionStore) applyDiff(diff qhconfig.Diff) (bool, error) {
	return v.applyDiffs([]qhconfig.Diff{diff})
}

// applyDiffs applies consecutive diffs as one: the holder is offered the last
// version only.
func (v *versionStore) applyDiffs(diffs []qhconfig.Diff) (bool, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	diffs = slices.DeleteFunc(slices.Clone(diffs), func(d qhconfig.Diff) bool { return d.Next <= v.version })
	if len(diffs) == 0 {
		return false, nil
	}
	version, next := v.version, v.config
	for _, diff := range diffs {
		if diff.Base == 0 || diff.Base != version {
			return false, qherr.New(qherr.Conflict, nil, "request the full configuration", "the diff is based on version %d, expected %d", diff.Base, version)
		}
		version, next = diff.Next, diff.Merge(next)
	}
	last := diffs[len(diffs)-1]
	digester := v.digester
	if computed := digester.Digest(next); computed != last.Digest {
		return false, qherr.New(qherr.Conflict, nil, "request the full configuration", "the diffs to version %d result in digest %s, expected %s", version, computed, last.Digest)
	}
	v.digester = digester
	for _, diff := range diffs {
		v.appendDiff(diff)
	}
	v.replace(version, last.Digest, next)
	return true, nil
}

// applyFull applies a full configuration and reports whether it was newer. An
// error of kind BadInput means that the configuration does not match the
// digest.
func (v *versionStore) applyFull(version qhid.Version, digest qhid.Digest, config qhconfig.Config) (bool, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if version <= v.version {
		return false, nil
	}
	digester := v.digester
	if computed := digester.Digest(config); computed != digest {
		return false, qherr.New(qherr.BadInput, nil, "ask another node", "version %d has digest %s, expected %s", version, computed, digest)
	}
	v.digester = digester
	if v.version > 0 {
		diff := qhconfig.Compare(v.config, config)
		diff.Base, diff.Next = v.version, version
		v.appendDiff(diff)
	}
	v.replace(version, digest, config)
	return true, nil
}

// appendDiff appends a diff whose base is the version of the last diff, and drops
// the oldest one if there are more than maxDiffs.
func (v *versionStore) appendDiff(diff qhconfig.Diff) {
	v.diffs = append(v.diffs, diff)
	if len(v.diffs) > maxDiffs {
		v.diffs = append([]qhconfig.Diff(nil), v.diffs[1:]...)
	}
}

func (v *versionStore) replace(version qhid.Version, digest qhid.Digest, config qhconfig.Config) {
	v.version, v.digest, v.config = version, digest, config
	if v.synced {
		v.offer()
	}
}

// release puts the newest known version in force, and from then on each newer one.
func (v *versionStore) release() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.synced = true
	if v.version > 0 {
		v.offer()
	}
}

// offer offers the newest known version to the holder. The lock is held.
func (v *versionStore) offer() {
	if _, err := v.holder.Apply(v.version, v.config, v.digest); err != nil {
		v.log.Warn("version refused on this node but passed on to others", zap.Uint64("version", uint64(v.version)), zap.Error(err))
	}
}

// diffsSince returns the diffs from the version to the newest known one, and
// false if some of them are no longer kept.
func (v *versionStore) diffsSince(version qhid.Version) ([]qhconfig.Diff, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.diffsSinceLocked(version)
}

func (v *versionStore) diffsSinceLocked(version qhid.Version) ([]qhconfig.Diff, bool) {
	if version >= v.version {
		return nil, true
	}
	if version == 0 {
		return nil, false // a node without a version gets the full configuration
	}
	for i, diff := range v.diffs {
		if diff.Base == version {
			return append([]qhconfig.Diff(nil), v.diffs[i:]...), true
		}
	}
	return nil, false
}

// contentSince returns what a node at the version needs to reach the newest known
// one: diffs, or the full configuration if the diffs are no longer kept.
func (v *versionStore) contentSince(version qhid.Version) (qhwire.VersionContent, error) {
	v.mu.Lock()
	response := qhwire.VersionContent{Version: v.version, Digest: v.digest}
	config := v.config
	diffs, ok := v.diffsSinceLocked(version)
	v.mu.Unlock()
	if ok {
		response.Diffs = diffs
		return response, nil
	}
	packed, err := qhwire.Pack(config)
	response.FullConfig = packed
	return response, err
}

// apply applies the content that a peer sent and reports whether it resulted in a
// newer version.
func (v *versionStore) apply(received qhwire.VersionContent) (bool, error) {
	if len(received.FullConfig) > 0 {
		config, err := qhwire.Unpack[qhconfig.Config](received.FullConfig)
		if err != nil {
			return false, err
		}
		return v.applyFull(received.Version, received.Digest, config)
	}
	return v.applyDiffs(received.Diffs)
}
