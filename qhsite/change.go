package qhsite

import (
	"context"
	"regexp"
	"strings"

	"quetzalhaven.dev/qherr"
	"quetzalhaven.dev/qhid"
)

// ParsePlanID returns the plan ID from the output of qhctl plan.
func ParsePlanID(text string) (qhid.Plan, error) {
	match := regexp.MustCompile(`(?m)^plan\s+(\S+)`).FindStringSubmatch(text)
	if match == nil {
		return "", qherr.New(qherr.Internal, nil, "check its output", "qhctl plan printed no plan ID: %s", text)
	}
	return qhid.Plan(match[1]), nil
}

// Plan creates a plan from the intents in the file and returns its ID.
func (s *Site) Plan(ctx context.Context, file string) (qhid.Plan, error) {
	result, err := s.CtlChecked(ctx, "plan", "-f", file)
	if err != nil {
		return "", err
	}
	return ParsePlanID(result.Stdout)
}

// Confirm confirms the plan with qhctl.
func (s *Site) Confirm(ctx context.Context, plan qhid.Plan) error {
	_, err := s.CtlChecked(ctx, "confirm", string(plan))
	return err
}

// CtlChecked runs qhctl and returns an error if its exit status is not 0.
func (s *Site) CtlChecked(ctx context.Context, args ...string) (CommandResult, error) {
	result, err := s.Ctl(ctx, args...)
	if err == nil && result.Status != qherr.StatusOK {
		err = qherr.New(qherr.Internal, nil, "check its output", "qhctl %s exited with status %d: %s", args[0], result.Status, strings.TrimSpace(result.Stderr))
	}
	return result, err
}
