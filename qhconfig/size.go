package qhconfig

import "quetzalhaven.dev/qhid"

// The estimated overhead of an entry in addition to its strings, in bytes.
const (
	serviceOverhead = 64
	routeOverhead   = 128
	shareOverhead   = 32
	stringOverhead  = 8
)

// approximateSize returns the approximate size of the configuration in memory.
func (c Config) approximateSize() qhid.Bytes {
	size := 0
	for i := range c.Services {
		service := &c.Services[i]
		size += serviceOverhead + len(service.Name)
		for _, target := range service.Retired {
			size += stringOverhead + len(target)
		}
	}
	for i := range c.Routes {
		route := &c.Routes[i]
		size += routeOverhead + len(route.Name) + len(route.Host) + len(route.Prefix)
		for _, method := range route.Methods {
			size += stringOverhead + len(method)
		}
		for _, share := range route.Shares {
			size += shareOverhead + len(share.Service)
		}
	}
	for i := range c.Tenants {
		size += serviceOverhead + len(c.Tenants[i].Name)
		for _, key := range c.Tenants[i].Keys {
			size += stringOverhead + len(key)
		}
	}
	return qhid.Bytes(size)
}
