package qhhold

import (
	"slices"

	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhstatus"
)

// refusalLog has the newest refused versions.
type refusalLog struct {
	// entries are ordered by version, with at most one per version and at most
	// qhstatus.MaxRefusals in total.
	entries []refusal
}

type refusal struct {
	version qhid.Version
	// digest is empty if the content did not match the version's digest.
	digest qhid.Digest
	err    error
}

// add records why a version was refused. It drops the oldest version if there are
// too many.
func (r *refusalLog) add(version qhid.Version, digest qhid.Digest, err error) {
	entry := refusal{version: version, digest: digest, err: err}
	index, found := r.index(version)
	if found {
		r.entries[index] = entry
		return
	}
	r.entries = slices.Insert(r.entries, index, entry)
	if len(r.entries) > qhstatus.MaxRefusals {
		r.entries = slices.Delete(r.entries, 0, 1)
	}
}

// find returns the error with which the version was refused with this digest, or
// nil.
func (r *refusalLog) find(version qhid.Version, digest qhid.Digest) error {
	index, found := r.index(version)
	if !found || r.entries[index].digest != digest {
		return nil
	}
	return r.entries[index].err
}

// removeUpTo removes the versions up to the given one.
func (r *refusalLog) removeUpTo(version qhid.Version) {
	r.entries = slices.DeleteFunc(r.entries, func(entry refusal) bool { return entry.version <= version })
}

func (r *refusalLog) list(node qhid.Node) []qhstatus.Refusal {
	list := make([]qhstatus.Refusal, 0, len(r.entries))
	for _, entry := range r.entries {
		list = append(list, qhstatus.Refusal{Node: node, Version: entry.version, Reason: entry.err.Error()})
	}
	return list
}

func (r *refusalLog) index(version qhid.Version) (int, bool) {
	return slices.BinarySearchFunc(r.entries, version, func(entry refusal, version qhid.Version) int {
		switch {
		case entry.version < version:
			return -1
		case entry.version > version:
			return 1
		}
		return 0
	})
}
