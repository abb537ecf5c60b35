package main

import (
	"regexp"

	"quetzalhaven.dev/qherr"
)

// planOf returns the id of the plan that qhctl printed.
func planOf(text string) (string, error) {
	match := regexp.MustCompile(`(?m)^plan\s+(\S+)`).FindStringSubmatch(text)
	if match == nil {
		return "", qherr.New(qherr.Internal, nil, "see the output above", "qhctl plan printed no plan id")
	}
	return match[1], nil
}
