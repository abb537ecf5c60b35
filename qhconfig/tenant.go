package qhconfig

import (
	"crypto/sha256"
	"encoding/base64"
	"fmt"
	"slices"

	"quetzalhaven.dev/qhid"
)

// Tenant is a customer whose callers identify themselves by a key.
type Tenant struct {
	Name qhid.Tenant `json:"name"`
	// Keys are the digests of the tenant's keys, sorted without duplicates. The keys
	// themselves are not part of a configuration.
	Keys []KeyDigest `json:"keys,omitempty"`
	// Priority orders the tenants' calls before the priorities of routes do; 0 is the
	// most urgent.
	Priority int `json:"priority,omitempty"`
	// Rate is the number of calls per second that all nodes together accept from the
	// tenant, and Burst the number of calls beyond that; a rate of 0 sets no limit.
	Rate  qhid.CallsPerSecond `json:"rate,omitempty"`
	Burst int                 `json:"burst,omitempty"`
	// Unavailable makes nodes refuse the calls of the tenant as not executed.
	Unavailable bool `json:"unavailable,omitempty"`
}

// Equal reports whether two tenants are equal in all fields.
func (t *Tenant) Equal(other *Tenant) bool {
	return t.Name == other.Name && slices.Equal(t.Keys, other.Keys) && t.Priority == other.Priority && t.Rate == other.Rate && t.Burst == other.Burst && t.Unavailable == other.Unavailable
}

// KeyDigest is the digest of a key, by which it is looked up: the time of a look-up
// does not depend on how much of a key matches, and the digest does not reveal it.
type KeyDigest string

// keyDigestBytes is the length of a digest. It leaves no chance of two keys with the
// same one.
const keyDigestBytes = 16

// keyFingerprintLength is the length of a fingerprint.
const keyFingerprintLength = 8

// DigestKey returns the digest of a key.
func DigestKey(key string) KeyDigest {
	sum := sha256.Sum256([]byte(key))
	return KeyDigest(base64.RawURLEncoding.EncodeToString(sum[:keyDigestBytes]))
}

// isValid reports whether the digest has the form of DigestKey.
func (d KeyDigest) isValid() bool {
	decoded, err := base64.RawURLEncoding.DecodeString(string(d))
	return err == nil && len(decoded) == keyDigestBytes
}

// Fingerprint returns a short form of the digest, by which operators tell keys apart.
func (d KeyDigest) Fingerprint() string { return string(d[:min(len(d), keyFingerprintLength)]) }

// RequiresKeys reports whether calls of routes that are not anonymous need a key of a
// tenant. A configuration that has tenants always requires keys.
func (c Config) RequiresKeys() bool { return c.Keyed || len(c.Tenants) > 0 }

// FindTenant returns the tenant with the name, or nil. c must be in canonical order.
func (c Config) FindTenant(name qhid.Tenant) *Tenant {
	i, found := slices.BinarySearchFunc(c.Tenants, name, func(t Tenant, name qhid.Tenant) int {
		if t.Name == name {
			return 0
		} else if t.Name < name {
			return -1
		}
		return 1
	})
	if !found {
		return nil
	}
	return &c.Tenants[i]
}

// checkTenants checks the tenants and that no two have a key in common.
func (c *checker) checkTenants(tenants []Tenant) {
	c.setEntry("", "")
	c.checkCount("tenants", len(tenants), MaxTenants)
	owners := make(map[KeyDigest]qhid.Tenant)
	for i := range tenants {
		tenant := &tenants[i]
		if i > 0 {
			c.checkOrder("tenant", string(tenants[i-1].Name), string(tenant.Name))
		}
		c.setEntry("tenant", string(tenant.Name))
		c.checkName("tenant", string(tenant.Name))
		c.checkRange("priority", int64(tenant.Priority), MaxPriority)
		c.checkRange("burst", int64(tenant.Burst), MaxRate)
		if tenant.Rate < 0 || tenant.Rate > MaxRate {
			c.addProblem("set it between 0 and 1000000000", "rate %v is out of range", tenant.Rate)
		}
		checkSortedUnique(c, "key", tenant.Keys)
		for _, key := range tenant.Keys {
			if !key.isValid() {
				c.addProblem("write the digest of the key", "key %q is not a digest", key.Fingerprint())
			}
			if other, ok := owners[key]; ok && other != tenant.Name {
				c.addProblem("give each tenant keys of its own", "it has a key in common with tenant %q", other)
			}
			owners[key] = tenant.Name
		}
	}
}

// repairTenants joins tenants of one name and takes keys away that several tenants have,
// since nobody can tell whose calls they are. A tenant whose name cannot be passed on or
// whose allowance is negative becomes unavailable.
func (r *repairer) repairTenants(tenants []Tenant) []Tenant {
	kept := tenants[:0]
	for i := range tenants {
		tenant := tenants[i]
		tenant.Keys = slices.Compact(tenant.Keys)
		r.setEntry("tenant", string(tenant.Name))
		r.repairTenantLimits(&tenant)
		if len(kept) > 0 && kept[len(kept)-1].Name == tenant.Name {
			r.addProblem("write one of them", "the name is used twice; they are one tenant, with the stricter limits")
			kept[len(kept)-1].join(&tenant)
			continue
		}
		kept = append(kept, tenant)
	}
	r.takeSharedKeys(kept)
	r.repairTenantNames(kept)
	return kept
}

// repairTenantLimits lowers what is too high, and makes the tenant unavailable if an
// allowance is negative.
func (r *repairer) repairTenantLimits(tenant *Tenant) {
	if priority := min(max(tenant.Priority, 0), MaxPriority); priority != tenant.Priority {
		r.addProblem("set it in range", "priority %d is out of range and taken as %d", tenant.Priority, priority)
		tenant.Priority = priority
	}
	if !(tenant.Rate >= 0) || tenant.Burst < 0 {
		r.addProblem("set them in range", "rate %v or burst %d is out of range; the tenant's calls are refused", tenant.Rate, tenant.Burst)
		tenant.Rate, tenant.Burst, tenant.Unavailable = 0, 0, true
	}
	if tenant.Rate > MaxRate || tenant.Burst > MaxRate {
		r.addProblem("set them in range", "rate %v or burst %d is out of range and taken as %d", tenant.Rate, tenant.Burst, MaxRate)
		tenant.Rate, tenant.Burst = min(tenant.Rate, MaxRate), min(tenant.Burst, MaxRate)
	}
}

// join adds the keys of another entry of the tenant and keeps the stricter limits.
func (t *Tenant) join(other *Tenant) {
	t.Keys = slices.Concat(t.Keys, other.Keys)
	slices.Sort(t.Keys)
	t.Keys = slices.Compact(t.Keys)
	t.Priority = max(t.Priority, other.Priority)
	t.Unavailable = t.Unavailable || other.Unavailable
	switch {
	case t.Rate == 0:
		t.Rate, t.Burst = other.Rate, other.Burst
	case other.Rate > 0:
		t.Rate, t.Burst = min(t.Rate, other.Rate), min(t.Burst, other.Burst)
	}
}

// takeSharedKeys takes away keys that more than one tenant has.
func (r *repairer) takeSharedKeys(tenants []Tenant) {
	owners := make(map[KeyDigest]int)
	for i := range tenants {
		for _, key := range tenants[i].Keys {
			owners[key]++
		}
	}
	for i := range tenants {
		tenant := &tenants[i]
		r.setEntry("tenant", string(tenant.Name))
		tenant.Keys = slices.DeleteFunc(tenant.Keys, func(key KeyDigest) bool {
			if owners[key] > 1 || !key.isValid() {
				r.addProblem("give each tenant keys of its own", "key %s is not used, because it is not valid or another tenant has it too", key.Fingerprint())
				return true
			}
			return false
		})
	}
}

// repairTenantNames gives tenants whose names cannot be passed on other ones and makes them
// unavailable.
func (r *repairer) repairTenantNames(tenants []Tenant) {
	names := make(map[qhid.Tenant]bool, len(tenants))
	for i := range tenants {
		names[tenants[i].Name] = true
	}
	for i := range tenants {
		tenant := &tenants[i]
		if isUsableName(string(tenant.Name)) {
			continue
		}
		r.setEntry("tenant", string(tenant.Name))
		r.addProblem(remedyUsableName(), "the name cannot be passed on in a header; the tenant's calls are refused")
		tenant.Unavailable = true
		for n := 1; names[tenant.Name]; n++ {
			tenant.Name = qhid.Tenant(fmt.Sprintf("unnamed.%d", n))
		}
		names[tenant.Name] = true
	}
}
