package qhconfig

import (
	"cmp"
	"slices"

	"quetzalhaven.dev/qherr"
	"quetzalhaven.dev/qhid"
)

// Diff is the change from one version to another.
type Diff struct {
	// Base is the version that the diff applies to.
	Base qhid.Version `json:"base"`
	// Next is the version of the result.
	Next qhid.Version `json:"next"`
	// Digest is the digest of the resulting configuration.
	Digest qhid.Digest `json:"digest"`
	// Services are the added and changed services, sorted by name.
	Services []Service `json:"services,omitempty"`
	// Routes are the added and changed routes, sorted by name.
	Routes []Route `json:"routes,omitempty"`
	// RemovedServices are sorted.
	RemovedServices []qhid.Service `json:"noservices,omitempty"`
	// RemovedRoutes are sorted.
	RemovedRoutes []qhid.Route `json:"noroutes,omitempty"`
	// Keyed is the new value of Config.Keyed; nil if it did not change.
	Keyed *bool `json:"keyed,omitempty"`
	// Tenants are the added and changed tenants, sorted by name.
	Tenants []Tenant `json:"tenants,omitempty"`
	// RemovedTenants are sorted.
	RemovedTenants []qhid.Tenant `json:"notenants,omitempty"`
	// Limits are the new caller limits; nil if they did not change.
	Limits *CallerLimits `json:"limits,omitempty"`
}

// Empty reports whether the diff changes nothing.
func (d Diff) Empty() bool {
	return len(d.Services)+len(d.Routes)+len(d.RemovedServices)+len(d.RemovedRoutes)+len(d.Tenants)+len(d.RemovedTenants) == 0 && d.Keyed == nil && d.Limits == nil
}

// Compare returns the diff from base to next. Both must be in canonical order.
// The caller sets Base and Next of the diff.
func Compare(base, next Config) Diff {
	diff := Diff{Digest: next.Digest()}
	diff.Services, diff.RemovedServices = compare(base.Services, next.Services,
		func(s *Service) qhid.Service { return s.Name }, (*Service).Equal)
	diff.Routes, diff.RemovedRoutes = compare(base.Routes, next.Routes,
		func(r *Route) qhid.Route { return r.Name }, (*Route).Equal)
	diff.Tenants, diff.RemovedTenants = compare(base.Tenants, next.Tenants,
		func(t *Tenant) qhid.Tenant { return t.Name }, (*Tenant).Equal)
	if base.RequiresKeys() != next.RequiresKeys() {
		diff.Keyed = new(next.RequiresKeys())
	}
	if base.Limits != next.Limits {
		diff.Limits = &next.Limits
	}
	return diff
}

// compare walks two sorted lists in parallel and returns the entries that were
// added or changed and the names of those that were removed.
func compare[T any, N cmp.Ordered](base, next []T, name func(*T) N, equal func(a, b *T) bool) (changed []T, removed []N) {
	baseIndex := 0
	for i := range next {
		for baseIndex < len(base) && name(&base[baseIndex]) < name(&next[i]) {
			removed = append(removed, name(&base[baseIndex]))
			baseIndex++
		}
		if baseIndex == len(base) || name(&base[baseIndex]) != name(&next[i]) {
			changed = append(changed, next[i])
			continue
		}
		if !equal(&base[baseIndex], &next[i]) {
			changed = append(changed, next[i])
		}
		baseIndex++
	}
	for ; baseIndex < len(base); baseIndex++ {
		removed = append(removed, name(&base[baseIndex]))
	}
	return changed, removed
}

// Apply applies the diff to base, which is not changed. The error is of kind
// Conflict if the digest of the result differs from the diff's.
func (d Diff) Apply(base Config) (Config, error) {
	next := d.Merge(base)
	if digest := next.Digest(); digest != d.Digest {
		return Config{}, d.digestMismatch(digest)
	}
	return next, nil
}

// digestMismatch returns the error of a diff whose result has another digest.
func (d Diff) digestMismatch(digest qhid.Digest) error {
	return qherr.New(qherr.Conflict, nil, "request the full configuration",
		"the diff from version %d to %d results in digest %s, expected %s", d.Base, d.Next, digest, d.Digest)
}

// Merge applies the diff to base without checking the digest. base is not
// changed. The result shares the unchanged entries with base, so neither may be
// modified afterwards.
func (d Diff) Merge(base Config) Config {
	next := Config{
		Keyed:    base.RequiresKeys(),
		Limits:   base.Limits,
		Services: merge(base.Services, d.Services, d.RemovedServices, func(s *Service) qhid.Service { return s.Name }),
		Routes:   merge(base.Routes, d.Routes, d.RemovedRoutes, func(r *Route) qhid.Route { return r.Name }),
	}
	if len(base.Tenants)+len(d.Tenants) > 0 {
		next.Tenants = merge(base.Tenants, d.Tenants, d.RemovedTenants, func(t *Tenant) qhid.Tenant { return t.Name })
	}
	if len(next.Tenants) == 0 {
		next.Tenants = nil // as decoded from a configuration without any
	}
	if d.Keyed != nil {
		next.Keyed = *d.Keyed
	}
	if d.Limits != nil {
		next.Limits = *d.Limits
	}
	return next
}

// merge returns the sorted list base with the changed entries inserted or replaced
// and the removed ones left out.
func merge[T any, N cmp.Ordered](base, changed []T, removed []N, name func(*T) N) []T {
	next := make([]T, 0, len(base)+len(changed))
	nextChanged := 0
	for i := range base {
		for nextChanged < len(changed) && name(&changed[nextChanged]) < name(&base[i]) {
			next = append(next, changed[nextChanged])
			nextChanged++
		}
		if nextChanged < len(changed) && name(&changed[nextChanged]) == name(&base[i]) {
			continue // the changed entry replaces it
		}
		if _, found := slices.BinarySearch(removed, name(&base[i])); !found {
			next = append(next, base[i])
		}
	}
	return append(next, changed[nextChanged:]...)
}
