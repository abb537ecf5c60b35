package qhconfig

import "quetzalhaven.dev/qhid"

// The allowances for what an entry has besides its texts.
const (
	serviceSize = 64
	routeSize   = 128
	shareSize   = 32
	textSize    = 8
)

// size returns about how many bytes the configuration takes.
func (c Config) size() qhid.Bytes {
	size := 0
	for i := range c.Services {
		service := &c.Services[i]
		size += serviceSize + len(service.Name)
		for _, target := range service.Retired {
			size += textSize + len(target)
		}
	}
	for i := range c.Routes {
		route := &c.Routes[i]
		size += routeSize + len(route.Name) + len(route.Host) + len(route.Prefix)
		for _, method := range route.Methods {
			size += textSize + len(method)
		}
		for _, share := range route.Shares {
			size += shareSize + len(share.Service)
		}
	}
	return qhid.Bytes(size)
}
