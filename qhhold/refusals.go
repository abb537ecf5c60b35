package qhhold

import (
	"slices"

	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhstatus"
)

// refusals has the versions that were kept out, the newest of them.
type refusals struct {
	// entries are ordered by version, each version once, at most
	// qhstatus.MaxRefusals.
	entries []refusal
}

type refusal struct {
	version qhid.Version
	// digest is empty where the content was not the version's own.
	digest qhid.Digest
	err    error
}

// add keeps the reason of a version, and drops the oldest where there are many.
func (r *refusals) add(version qhid.Version, digest qhid.Digest, err error) {
	entry := refusal{version: version, digest: digest, err: err}
	i, found := r.index(version)
	if found {
		r.entries[i] = entry
		return
	}
	r.entries = slices.Insert(r.entries, i, entry)
	if len(r.entries) > qhstatus.MaxRefusals {
		r.entries = slices.Delete(r.entries, 0, 1)
	}
}

// find returns why the content of the digest was refused, or nil.
func (r *refusals) find(version qhid.Version, digest qhid.Digest) error {
	i, found := r.index(version)
	if !found || r.entries[i].digest != digest {
		return nil
	}
	return r.entries[i].err
}

// forget drops the versions up to the one that is held now.
func (r *refusals) forget(held qhid.Version) {
	r.entries = slices.DeleteFunc(r.entries, func(entry refusal) bool { return entry.version <= held })
}

func (r *refusals) list(node qhid.Node) []qhstatus.Refusal {
	list := make([]qhstatus.Refusal, 0, len(r.entries))
	for _, entry := range r.entries {
		list = append(list, qhstatus.Refusal{Node: node, Version: entry.version, Reason: entry.err.Error()})
	}
	return list
}

func (r *refusals) index(version qhid.Version) (int, bool) {
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
