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

// maxDiffs is how many diffs are kept for peers that are a little behind.
const maxDiffs = 32

// content is the newest version that a node knows. It goes to the holder and on
// to other nodes, also where this node's holder keeps it out: what one node
// finds wrong must not keep a version from all below it.
type content struct {
	holder *qhhold.Holder
	log    *zap.Logger

	mu sync.Mutex
	// version only grows.
	version  qhid.Version
	digest   qhid.Digest
	config   qhconfig.Config
	digester qhconfig.Digester
	// diffs follow on each other; the last leads to version.
	diffs []qhconfig.Diff
}

func newContent(holder *qhhold.Holder, log *zap.Logger) *content {
	c := &content{holder: holder, log: log}
	if held := holder.Current(); held != nil {
		c.version, c.digest, c.config = held.Version, held.Digest, held.Config
	}
	return c
}

// known returns the newest version and its digest.
func (c *content) known() (qhid.Version, qhid.Digest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.version, c.digest
}

// takeDiff takes a diff and returns whether it led to a newer version. An error
// of kind Conflict means that the whole version has to be asked for.
func (c *content) takeDiff(diff qhconfig.Diff) (bool, error) {
	return c.takeDiffs([]qhconfig.Diff{diff})
}

// takeDiffs takes diffs that follow on each other like one: the holder gets the
// last version only.
func (c *content) takeDiffs(diffs []qhconfig.Diff) (bool, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	diffs = slices.DeleteFunc(slices.Clone(diffs), func(d qhconfig.Diff) bool { return d.Next <= c.version })
	if len(diffs) == 0 {
		return false, nil
	}
	version, next := c.version, c.config
	for _, diff := range diffs {
		if diff.Base == 0 || diff.Base != version {
			return false, qherr.New(qherr.Conflict, nil, "ask for the whole version", "diff is for version %d, not %d", diff.Base, version)
		}
		version, next = diff.Next, diff.Merge(next)
	}
	last := diffs[len(diffs)-1]
	digester := c.digester
	if sum := digester.Digest(next); sum != last.Digest {
		return false, qherr.New(qherr.Conflict, nil, "ask for the whole version", "diff to version %d gives digest %s, not %s", version, sum, last.Digest)
	}
	c.digester = digester
	for _, diff := range diffs {
		c.keep(diff)
	}
	c.swap(version, last.Digest, next)
	return true, nil
}

// takeWhole takes a whole version and returns whether it was newer. An error of
// kind BadInput means that the content is not that of the digest.
func (c *content) takeWhole(version qhid.Version, digest qhid.Digest, config qhconfig.Config) (bool, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if version <= c.version {
		return false, nil
	}
	digester := c.digester
	if sum := digester.Digest(config); sum != digest {
		return false, qherr.New(qherr.BadInput, nil, "ask another node", "version %d has digest %s, not %s", version, sum, digest)
	}
	c.digester = digester
	if c.version > 0 {
		diff := qhconfig.Compare(c.config, config)
		diff.Base, diff.Next = c.version, version
		c.keep(diff)
	}
	c.swap(version, digest, config)
	return true, nil
}

// keep adds a diff that follows on the last one.
func (c *content) keep(diff qhconfig.Diff) {
	c.diffs = append(c.diffs, diff)
	if len(c.diffs) > maxDiffs {
		c.diffs = append([]qhconfig.Diff(nil), c.diffs[1:]...)
	}
}

func (c *content) swap(version qhid.Version, digest qhid.Digest, config qhconfig.Config) {
	c.version, c.digest, c.config = version, digest, config
	if _, err := c.holder.Apply(version, config, digest); err != nil {
		c.log.Warn("version passed on but kept out here", zap.Uint64("version", uint64(version)), zap.Error(err))
	}
}

// since returns the diffs that lead from the version to the newest, and false
// where they are not kept.
func (c *content) since(version qhid.Version) ([]qhconfig.Diff, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.after(version)
}

func (c *content) after(version qhid.Version) ([]qhconfig.Diff, bool) {
	if version >= c.version {
		return nil, true
	}
	if version == 0 {
		return nil, false // whoever holds nothing gets the newest whole
	}
	for i, diff := range c.diffs {
		if diff.Base == version {
			return append([]qhconfig.Diff(nil), c.diffs[i:]...), true
		}
	}
	return nil, false
}

// answer returns what brings a node from a version to the newest.
func (c *content) answer(version qhid.Version) (qhwire.Content, error) {
	c.mu.Lock()
	newest := qhwire.Content{Version: c.version, Digest: c.digest}
	config := c.config
	diffs, ok := c.after(version)
	c.mu.Unlock()
	if ok {
		newest.Diffs = diffs
		return newest, nil
	}
	whole, err := qhwire.Pack(config)
	newest.Whole = whole
	return newest, err
}

// take takes what a peer sent to bring this node to a version.
func (c *content) take(sent qhwire.Content) (bool, error) {
	if len(sent.Whole) > 0 {
		config, err := qhwire.Unpack[qhconfig.Config](sent.Whole)
		if err != nil {
			return false, err
		}
		return c.takeWhole(sent.Version, sent.Digest, config)
	}
	return c.takeDiffs(sent.Diffs)
}
