package qhconfig

import (
	"fmt"
	"strings"

	"quetzalhaven.dev/qherr"
	"quetzalhaven.dev/qhid"
)

// maxListedProblems limits the problems that one error lists.
const maxListedProblems = 8

// Problem is one validation failure of a configuration.
type Problem struct {
	// Location is the service or route, as in `route "urns"`, or "configuration".
	Location string `json:"where"`
	// Message describes what is wrong, with the invalid value.
	Message string `json:"what"`
	// Remedy describes how to correct it.
	Remedy string `json:"remedy"`
}

// String returns location, message and remedy on one line.
func (p Problem) String() string { return p.Location + ": " + p.Message + "; " + p.Remedy }

// Check validates the configuration by the rules for plans. The error is of kind Refused and
// lists the first problems with their remedies.
func (c Config) Check() error { return problemsError(c.Problems()) }

// CheckUsable validates the configuration by the rules that nodes need: it allows each
// name, host and prefix that can occur in a request, and any number of shares.
func (c Config) CheckUsable() error {
	return problemsError(c.problems(&checker{usable: true}))
}

func problemsError(problems []Problem) error {
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

// Problems returns all validation failures of the configuration by the rules for plans. If it exceeds a
// size limit, these are the only problems returned.
func (c Config) Problems() []Problem { return c.problems(&checker{}) }

func (c Config) problems(check *checker) []Problem {
	check.services = make(map[qhid.Service]bool, len(c.Services))
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
	check.checkTenants(c.Tenants)
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
