package qhsite

import (
	"context"
	"regexp"
	"strings"

	"quetzalhaven.dev/qherr"
	"quetzalhaven.dev/qhid"
)

// PlanOf returns the id of the plan that qhctl plan printed.
func PlanOf(text string) (qhid.Plan, error) {
	match := regexp.MustCompile(`(?m)^plan\s+(\S+)`).FindStringSubmatch(text)
	if match == nil {
		return "", qherr.New(qherr.Internal, nil, "see its output", "qhctl plan printed no plan id: %s", text)
	}
	return qhid.Plan(match[1]), nil
}

// Plan makes a plan of the intents in the file.
func (s *Site) Plan(ctx context.Context, file string) (qhid.Plan, error) {
	result, err := s.Done(ctx, "plan", "-f", file)
	if err != nil {
		return "", err
	}
	return PlanOf(result.Out)
}

// Confirm puts the plan in force.
func (s *Site) Confirm(ctx context.Context, plan qhid.Plan) error {
	_, err := s.Done(ctx, "confirm", string(plan))
	return err
}

// Done runs qhctl and returns an error unless its exit status is 0.
func (s *Site) Done(ctx context.Context, args ...string) (Result, error) {
	result, err := s.Ctl(ctx, args...)
	if err == nil && result.Status != qherr.StatusOK {
		err = qherr.New(qherr.Internal, nil, "see its output", "qhctl %s ended with status %d: %s", args[0], result.Status, strings.TrimSpace(result.Err))
	}
	return result, err
}
