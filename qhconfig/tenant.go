package qhconfig

import (
	"crypto/sha256"
	"encoding/base64"
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
}

// Equal reports whether two tenants are equal in all fields.
func (t *Tenant) Equal(other *Tenant) bool {
	return t.Name == other.Name && slices.Equal(t.Keys, other.Keys) && t.Priority == other.Priority && t.Rate == other.Rate && t.Burst == other.Burst
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

// repairTenants leaves out tenants without a valid name and keys that more than one
// tenant has, since nobody can tell whose calls they are. A limit out of range stops the
// tenant's calls, except for the most urgent priority, which it does not get.
func (r *repairer) repairTenants(tenants []Tenant) []Tenant {
	owners := make(map[KeyDigest]int)
	for i := range tenants {
		tenants[i].Keys = slices.Compact(tenants[i].Keys)
		for _, key := range tenants[i].Keys {
			owners[key]++
		}
	}
	kept := tenants[:0]
	for i := range tenants {
		tenant := tenants[i]
		r.setEntry("tenant", string(tenant.Name))
		if !isValidName(string(tenant.Name)) || len(kept) > 0 && kept[len(kept)-1].Name == tenant.Name {
			r.addProblem("give it a valid name of its own", "the tenant is left out, because its name is not valid or used twice")
			continue
		}
		tenant.Keys = slices.DeleteFunc(tenant.Keys, func(key KeyDigest) bool {
			if owners[key] > 1 || !key.isValid() {
				r.addProblem("give each tenant keys of its own", "key %s is not used, because it is not valid or another tenant has it too", key.Fingerprint())
				return true
			}
			return false
		})
		if priority := min(max(tenant.Priority, 0), MaxPriority); priority != tenant.Priority {
			r.addProblem("set it in range", "priority %d is out of range and taken as %d", tenant.Priority, priority)
			tenant.Priority = priority
		}
		if !(tenant.Rate >= 0 && tenant.Rate <= MaxRate) || tenant.Burst < 0 || tenant.Burst > MaxRate {
			r.addProblem("set them in range", "rate %v or burst %d is out of range; the tenant's calls are refused", tenant.Rate, tenant.Burst)
			tenant.Rate, tenant.Burst, tenant.Keys = 0, 0, nil
		}
		kept = append(kept, tenant)
	}
	return kept
}
