package qhhead

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"slices"

	"github.com/cespare/xxhash/v2"

	"quetzalhaven.dev/qhconfig"
	"quetzalhaven.dev/qherr"
	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhplatform"
)

const (
	// maxMeanPartSize bounds the mean size of the parts of a configuration.
	maxMeanPartSize qhid.Bytes = 32 << 10
	// maxPartSize bounds the size of a part, well below the largest value of the
	// platform.
	maxPartSize = qhplatform.MaxValueSize / 2
	// maxParts bounds the number of parts of a configuration.
	maxParts = 4096
)

// part holds the services, routes and tenants whose names hash to one bucket.
type part struct {
	Services []qhconfig.Service `json:"services,omitempty"`
	Routes   []qhconfig.Route   `json:"routes,omitempty"`
	Tenants  []qhconfig.Tenant  `json:"tenants,omitempty"`
	// Keyed is set in the first part only.
	Keyed bool `json:"keyed,omitempty"`
	// Limits is set in the first part only.
	Limits qhconfig.CallerLimits `json:"limits,omitzero"`
}

// encodedObject is an object with the digest under which it is stored.
type encodedObject struct {
	digest qhid.Digest
	data   []byte
}

func encode[T any](value T) (encodedObject, error) {
	data, err := json.Marshal(value)
	if err != nil {
		return encodedObject{}, err
	}
	return encodedObject{digest: digestOf(data), data: data}, nil
}

func digestOf(data []byte) qhid.Digest {
	sum := sha256.Sum256(data)
	return qhid.Digest(hex.EncodeToString(sum[:]))
}

// splitIntoParts splits a configuration into encoded parts whose mean size is at
// most size. The number of parts depends only on the configuration and is a power
// of two, so that it seldom changes.
func splitIntoParts(config qhconfig.Config, size qhid.Bytes) ([]encodedObject, error) {
	encodedConfig, err := encode(config)
	if err != nil {
		return nil, err
	}
	buckets := 1
	for len(encodedConfig.data) > buckets*int(size) && buckets < maxParts {
		buckets *= 2
	}
	for ; buckets <= maxParts; buckets *= 2 {
		parts, err := splitIntoBuckets(config, buckets)
		if err != nil || allFit(parts) {
			return parts, err
		}
	}
	return nil, qherr.New(qherr.BadInput, nil, "make the largest services and routes smaller",
		"the configuration has entries of more than %d bytes", maxPartSize)
}

// splitIntoBuckets splits a configuration into the given number of encoded parts.
func splitIntoBuckets(config qhconfig.Config, buckets int) ([]encodedObject, error) {
	parts := make([]part, buckets)
	for _, service := range config.Services {
		p := &parts[bucket(string(service.Name), buckets)]
		p.Services = append(p.Services, service)
	}
	parts[0].Keyed, parts[0].Limits = config.Keyed, config.Limits
	for _, route := range config.Routes {
		p := &parts[bucket(string(route.Name), buckets)]
		p.Routes = append(p.Routes, route)
	}
	for _, tenant := range config.Tenants {
		p := &parts[bucket(string(tenant.Name), buckets)]
		p.Tenants = append(p.Tenants, tenant)
	}
	all := make([]encodedObject, buckets)
	for i := range parts {
		var err error
		if all[i], err = encode(parts[i]); err != nil {
			return nil, err
		}
	}
	return all, nil
}

// bucket returns the index of the part that holds a service or route.
func bucket(name string, buckets int) int { return int(xxhash.Sum64String(name) % uint64(buckets)) }

func allFit(parts []encodedObject) bool {
	return !slices.ContainsFunc(parts, func(p encodedObject) bool { return len(p.data) > int(maxPartSize) })
}

// joinParts returns the configuration of the parts.
func joinParts(parts []part) qhconfig.Config {
	var config qhconfig.Config
	for _, p := range parts {
		config.Services = append(config.Services, p.Services...)
		config.Routes = append(config.Routes, p.Routes...)
		config.Tenants = append(config.Tenants, p.Tenants...)
		config.Keyed = config.Keyed || p.Keyed
		if p.Limits != (qhconfig.CallerLimits{}) {
			config.Limits = p.Limits
		}
	}
	slices.SortFunc(config.Services, func(a, b qhconfig.Service) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(config.Tenants, func(a, b qhconfig.Tenant) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(config.Routes, func(a, b qhconfig.Route) int { return cmp.Compare(a.Name, b.Name) })
	return config
}
