package qhconfig

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"quetzalhaven.dev/qhid"
)

// entryHash is the SHA-256 hash of one encoded entry.
type entryHash [sha256.Size]byte

// Digest returns the SHA-256 hash over the hashes of the services, a separator,
// the hashes of the routes and, unless there are none, of the limits and, if the
// configuration requires keys, another separator and the hashes of the tenants, in order.
func (c Config) Digest() qhid.Digest {
	var digester Digester
	return digester.Digest(c)
}

// Digester computes the digests of successive configurations. It caches the hash
// of every entry, so that only changed entries are encoded and hashed again. The
// zero value is ready to use. A Digester is not safe for concurrent use.
type Digester struct {
	services hashedEntries[Service]
	routes   hashedEntries[Route]
	tenants  hashedEntries[Tenant]
}

// Digest returns the same digest as Config.Digest.
func (d *Digester) Digest(config Config) qhid.Digest {
	d.services = d.services.update(config.Services, serviceName, (*Service).Equal)
	d.routes = d.routes.update(config.Routes, routeName, (*Route).Equal)
	hash := sha256.New()
	for i := range d.services.hashes {
		_, _ = hash.Write(d.services.hashes[i][:]) // hash.Hash.Write never returns an error
	}
	var separator entryHash
	_, _ = hash.Write(separator[:])
	for i := range d.routes.hashes {
		_, _ = hash.Write(d.routes.hashes[i][:])
	}
	if config.Limits != (CallerLimits{}) {
		limits := hashEntry(&config.Limits)
		_, _ = hash.Write(limits[:])
	}
	d.tenants = d.tenants.update(config.Tenants, func(t *Tenant) string { return string(t.Name) }, (*Tenant).Equal)
	if config.RequiresKeys() {
		_, _ = hash.Write(separator[:])
	}
	for i := range d.tenants.hashes {
		_, _ = hash.Write(d.tenants.hashes[i][:])
	}
	return qhid.Digest(hex.EncodeToString(hash.Sum(nil)))
}

func serviceName(s *Service) string { return string(s.Name) }

func routeName(r *Route) string { return string(r.Name) }

// hashedEntries holds the entries of one kind with their hashes.
type hashedEntries[T any] struct {
	entries []T
	// hashes has the hash of the entry at the same index.
	hashes []entryHash
}

// update returns the hashes of entries, reusing those of unchanged entries.
func (h hashedEntries[T]) update(entries []T, name func(*T) string, equal func(a, b *T) bool) hashedEntries[T] {
	hashes := make([]entryHash, len(entries))
	oldIndex := 0
	for i := range entries {
		for oldIndex < len(h.entries) && name(&h.entries[oldIndex]) < name(&entries[i]) {
			oldIndex++
		}
		if oldIndex < len(h.entries) && equal(&h.entries[oldIndex], &entries[i]) {
			hashes[i] = h.hashes[oldIndex]
			continue
		}
		hashes[i] = hashEntry(&entries[i])
	}
	return hashedEntries[T]{entries: entries, hashes: hashes}
}

func hashEntry[T any](entry *T) entryHash {
	data, err := json.Marshal(entry)
	if err != nil {
		panic(err) // no entry has a field that cannot be encoded
	}
	return sha256.Sum256(data)
}
