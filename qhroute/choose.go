package qhroute

import (
	"quetzalhaven.dev/qhconfig"
	"quetzalhaven.dev/qhid"
)

// TotalShares returns the sum of the shares of a route, the exclusive upper bound
// of draws for ChooseService.
func TotalShares(route *qhconfig.Route) int {
	total := 0
	for _, share := range route.Shares {
		total += share.RelativeWeight()
	}
	return total
}

// ChooseService returns the service for a call of the route, given a random draw
// in [0, TotalShares). It returns "" if the draw is out of range.
func ChooseService(route *qhconfig.Route, draw int) qhid.Service {
	for _, share := range route.Shares {
		draw -= share.RelativeWeight()
		if draw < 0 {
			return share.Service
		}
	}
	return ""
}
