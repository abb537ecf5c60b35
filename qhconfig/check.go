package qhconfig

import (
	"fmt"
	"strings"

	"quetzalhaven.dev/qherr"
	"quetzalhaven.dev/qhid"
)

// maxNamedProblems bounds the problems that one error names.
const maxNamedProblems = 8

// Problem is one reason why a configuration is refused.
type Problem struct {
	// Where names the service or the route, as in `route "urns"`.
	Where string `json:"where"`
	// What says what is wrong and with which value.
	What string `json:"what"`
	// Remedy says what to do about it.
	Remedy string `json:"remedy"`
}

// String returns the problem on one line.
func (p Problem) String() string { return p.Where + ": " + p.What + "; " + p.Remedy }

// Check returns an error of kind Refused that names the problems of the
// configuration, or nil where it has none.
func (c Config) Check() error {
	problems := c.Problems()
	switch len(problems) {
	case 0:
		return nil
	case 1:
		return qherr.New(qherr.Refused, nil, problems[0].Remedy, "%s: %s", problems[0].Where, problems[0].What)
	}
	var text strings.Builder
	for i, problem := range problems[:min(len(problems), maxNamedProblems)] {
		fmt.Fprintf(&text, " (%d) %s", i+1, problem)
	}
	return qherr.New(qherr.Refused, nil, "correct each of them", "the configuration has %d problems:%s", len(problems), text.String())
}

// Problems returns all that is wrong with the configuration.
func (c Config) Problems() []Problem {
	check := &checker{services: make(map[qhid.Service]bool, len(c.Services))}
	check.count("services", len(c.Services), MaxServices)
	check.count("routes", len(c.Routes), MaxRoutes)
	check.count("bytes", int(c.size()), int(MaxSize))
	if len(check.problems) > 0 {
		return check.problems
	}
	for i := range c.Services {
		check.service(&c.Services[i])
	}
	for i := 1; i < len(c.Services); i++ {
		check.order("service", string(c.Services[i-1].Name), string(c.Services[i].Name))
	}
	for i := range c.Routes {
		check.route(&c.Routes[i])
	}
	for i := 1; i < len(c.Routes); i++ {
		check.order("route", string(c.Routes[i-1].Name), string(c.Routes[i].Name))
	}
	check.overlaps(c.Routes)
	check.bounds(c.Limits)
	return check.problems
}
