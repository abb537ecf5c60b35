package qhroute

import (
	"quetzalhaven.dev/qhconfig"
	"quetzalhaven.dev/qhid"
)

// Choose returns the service that takes a call of the route, for a draw from 0
// to 99 at random. It is empty where the shares do not reach the draw.
func Choose(route *qhconfig.Route, draw int) qhid.Service {
	for _, share := range route.Shares {
		draw -= int(share.Percent)
		if draw < 0 {
			return share.Service
		}
	}
	return ""
}
