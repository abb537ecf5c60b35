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
	// partSize is the size that parts have on average at most.
	partSize qhid.Bytes = 32 << 10
	// maxPart bounds a part, well under what the platform holds.
	maxPart = qhplatform.MaxValueSize / 2
	// maxParts bounds the parts of a configuration.
	maxParts = 4096
)

// part is the entries of a configuration whose names fall into one bucket.
type part struct {
	Services []qhconfig.Service `json:"services,omitempty"`
	Routes   []qhconfig.Route   `json:"routes,omitempty"`
	// Limits stand in the first part only.
	Limits qhconfig.CallerLimits `json:"limits,omitzero"`
}

// encoded is an object with the digest that it is stored under.
type encoded struct {
	digest qhid.Digest
	data   []byte
}

func encode[T any](value T) (encoded, error) {
	data, err := json.Marshal(value)
	if err != nil {
		return encoded{}, err
	}
	return encoded{digest: digestOf(data), data: data}, nil
}

func digestOf(data []byte) qhid.Digest {
	sum := sha256.Sum256(data)
	return qhid.Digest(hex.EncodeToString(sum[:]))
}

// split returns the parts of a configuration, on average of at most the size.
// Their number depends on that of the configuration only and is a power of two,
// so that it seldom changes.
func split(config qhconfig.Config, size qhid.Bytes) ([]encoded, error) {
	whole, err := encode(config)
	if err != nil {
		return nil, err
	}
	buckets := 1
	for len(whole.data) > buckets*int(size) && buckets < maxParts {
		buckets *= 2
	}
	for ; buckets <= maxParts; buckets *= 2 {
		parts, err := splitInto(config, buckets)
		if err != nil || fit(parts) {
			return parts, err
		}
	}
	return nil, qherr.New(qherr.BadInput, nil, "make the largest services and routes smaller",
		"the configuration has entries of more than %d bytes", maxPart)
}

func splitInto(config qhconfig.Config, buckets int) ([]encoded, error) {
	parts := make([]part, buckets)
	for _, service := range config.Services {
		p := &parts[bucket(string(service.Name), buckets)]
		p.Services = append(p.Services, service)
	}
	parts[0].Limits = config.Limits
	for _, route := range config.Routes {
		p := &parts[bucket(string(route.Name), buckets)]
		p.Routes = append(p.Routes, route)
	}
	all := make([]encoded, buckets)
	for i := range parts {
		var err error
		if all[i], err = encode(parts[i]); err != nil {
			return nil, err
		}
	}
	return all, nil
}

func bucket(name string, buckets int) int { return int(xxhash.Sum64String(name) % uint64(buckets)) }

func fit(parts []encoded) bool {
	return !slices.ContainsFunc(parts, func(p encoded) bool { return len(p.data) > int(maxPart) })
}

// join returns the configuration of the parts.
func join(parts []part) qhconfig.Config {
	var config qhconfig.Config
	for _, p := range parts {
		config.Services = append(config.Services, p.Services...)
		config.Routes = append(config.Routes, p.Routes...)
		if p.Limits != (qhconfig.CallerLimits{}) {
			config.Limits = p.Limits
		}
	}
	slices.SortFunc(config.Services, func(a, b qhconfig.Service) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(config.Routes, func(a, b qhconfig.Route) int { return cmp.Compare(a.Name, b.Name) })
	return config
}
