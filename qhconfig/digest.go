package qhconfig

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"quetzalhaven.dev/qhid"
)

// sum is the SHA-256 sum of one entry.
type sum [sha256.Size]byte

// Digest returns the SHA-256 sum over the sums of the services and then of the
// routes, in their order, and of the limits where there are any.
func (c Config) Digest() qhid.Digest {
	var digester Digester
	return digester.Digest(c)
}

// Digester digests configurations that follow on each other. It keeps the sum
// of every entry, so that a change costs the encoding of what it changed. The
// zero Digester is ready; it is not safe for several goroutines.
type Digester struct {
	services entrySums[Service]
	routes   entrySums[Route]
}

// Digest returns what Config.Digest returns.
func (d *Digester) Digest(config Config) qhid.Digest {
	d.services = d.services.next(config.Services, serviceName, (*Service).Equal)
	d.routes = d.routes.next(config.Routes, routeName, (*Route).Equal)
	hash := sha256.New()
	for i := range d.services.sums {
		_, _ = hash.Write(d.services.sums[i][:]) // a hash returns no error
	}
	var boundary sum
	_, _ = hash.Write(boundary[:])
	for i := range d.routes.sums {
		_, _ = hash.Write(d.routes.sums[i][:])
	}
	if config.Limits != (CallerLimits{}) {
		limits := sumOf(&config.Limits)
		_, _ = hash.Write(limits[:])
	}
	return qhid.Digest(hex.EncodeToString(hash.Sum(nil)))
}

func serviceName(s *Service) string { return string(s.Name) }

func routeName(r *Route) string { return string(r.Name) }

// entrySums has the entries of one kind with their sums.
type entrySums[T any] struct {
	entries []T
	// sums are those of entries, in their order.
	sums []sum
}

// next returns the sums of entries and takes over those of equal entries.
func (e entrySums[T]) next(entries []T, name func(*T) string, equal func(a, b *T) bool) entrySums[T] {
	sums := make([]sum, len(entries))
	old := 0
	for i := range entries {
		for old < len(e.entries) && name(&e.entries[old]) < name(&entries[i]) {
			old++
		}
		if old < len(e.entries) && equal(&e.entries[old], &entries[i]) {
			sums[i] = e.sums[old]
			continue
		}
		sums[i] = sumOf(&entries[i])
	}
	return entrySums[T]{entries: entries, sums: sums}
}

func sumOf[T any](entry *T) sum {
	data, err := json.Marshal(entry)
	if err != nil {
		panic(err) // no entry has a field that can't be encoded
	}
	return sha256.Sum256(data)
}
