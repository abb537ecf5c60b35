package qhroute

import (
	"quetzalhaven.dev/qhconfig"
	"quetzalhaven.dev/qhid"
)

// TotalShares returns the sum of the shares of a route, above which no draw reaches.
func TotalShares(route *qhconfig.Route) int {
	total := 0
	for _, share := range route.Shares {
		total += share.RelativeWeight()
	}
	return total
}

// ChooseService returns the service that takes a call of the route, for a draw at
// random from 0 to below Total. It is empty where the shares do not reach the draw.
func ChooseService(route *qhconfig.Route, draw int) qhid.Service {
	for _, share := range route.Shares {
		draw -= share.RelativeWeight()
		if draw < 0 {
			return share.Service
		}
	}
	return ""
}
