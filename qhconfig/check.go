package qhconfig

import (
	"fmt"
	"strings"

	"quetzalhaven.dev/qherr"
	"quetzalhaven.dev/qhid"
)

// maxListedProblems bounds the problems that one error names.
const maxListedProblems = 8

// Problem is one reason why a configuration is refused.
type Problem struct {
	// Location names the service or the route, as in `route "urns"`.
	Location string `json:"where"`
	// Message says what is wrong and with which value.
	Message string `json:"what"`
	// Remedy says what to do about it.
	Remedy string `json:"remedy"`
}

// String returns the problem on one line.
func (p Problem) String() string { return p.Location + ": " + p.Message + "; " + p.Remedy }

// Check returns an error of kind Refused that names the problems of the
// configuration, or nil where it has none.
func (c Config) Check() error {
	problems := c.Problems()
	switch len(problems) {
	case 0:
		return nil
	case 1:
		return qherr.New(qherr.Refused, nil, problems[0].Remedy, "%s: %s", problems[0].Location, problems[0].Message)
	}
	var text strings.Builder
	for i, problem := range problems[:min(len(problems), maxListedProblems)] {
		fmt.Fprintf(&text, " (%d) %s", i+1, problem)
	}
	return qherr.New(qherr.Refused, nil, "correct each of them", "the configuration has %d problems:%s", len(problems), text.String())
}

// Problems returns all that is wrong with the configuration.
func (c Config) Problems() []Problem {
	check := &checker{services: make(map[qhid.Service]bool, len(c.Services))}
	check.checkCount("services", len(c.Services), MaxServices)
	check.checkCount("routes", len(c.Routes), MaxRoutes)
	check.checkCount("bytes", int(c.approximateSize()), int(MaxSize))
	if len(check.problems) > 0 {
		return check.problems
	}
	for i := range c.Services {
		check.checkService(&c.Services[i])
	}
	for i := 1; i < len(c.Services); i++ {
		check.checkOrder("service", string(c.Services[i-1].Name), string(c.Services[i].Name))
	}
	for i := range c.Routes {
		check.checkRoute(&c.Routes[i])
	}
	for i := 1; i < len(c.Routes); i++ {
		check.checkOrder("route", string(c.Routes[i-1].Name), string(c.Routes[i].Name))
	}
	check.checkOverlaps(c.Routes)
	check.checkCallerLimits(c.Limits)
	return check.problems
}
