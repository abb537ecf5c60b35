package qhcommand

import (
	"context"
	"fmt"

	"github.com/spf13/cobra"

	"quetzalhaven.dev/qhctl/qhtext"
	"quetzalhaven.dev/qherr"
	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhintent"
	"quetzalhaven.dev/qhplan"
)

// newPlan returns the command that makes a plan.
func newPlan(s *session) *cobra.Command {
	command := &cobra.Command{
		Use:   "plan -f INTENT",
		Short: "Plan what a file of intents asks for, and change nothing",
		Long: `Makes a plan of the intents in a file, JSON with comments, from the newest
version. The plan shows what will change, where and why, and is kept on the
platform. Nothing changes until it is confirmed.

A file has a "reason" and a list of "intents". Each says what to "do", with which
"service", "route" or "version", and may say "why". The fields it takes:

` + qhintent.Help() + `
A shift gives from, to and percent, or all shares. A route repeats "never",
"safe" (calls may run more than once) or "keyed" (at most once for each
Idempotency-Key).`,
		Example: "  qhctl plan -f shift.jsonc\n\n  // shift.jsonc\n  {\n    \"reason\": \"try the next release of booking\",\n    \"intents\": [{\"do\": \"shift\", \"route\": \"slots\", \"from\": \"booking\", \"to\": \"booking-next\", \"percent\": 10}],\n  }",
		Args:    exactArgs(),
	}
	path := intentFlag(command)
	command.RunE = s.checkedRun(func(command *cobra.Command, _ []string) error {
		intents, err := loadIntents(command, *path)
		if err != nil {
			return err
		}
		return s.plan(command, intents)
	})
	return command
}

// plan makes a plan of intents and shows it.
func (s *session) plan(command *cobra.Command, intents qhintent.File) error {
	author, err := s.author()
	if err != nil {
		return err
	}
	return withPlanner(s, command, func(ctx context.Context, planner *qhplan.Planner) error {
		plan, err := planner.Plan(ctx, author, intents)
		if err != nil {
			return err
		}
		return show(s, command, plan, (*qhtext.Writer).Plan)
	})
}

// withPlanner runs do within the command's bound.
func withPlanner(s *session, command *cobra.Command, do func(ctx context.Context, planner *qhplan.Planner) error) error {
	planner, cleanup, err := s.newPlanner()
	if err != nil {
		return err
	}
	defer cleanup()
	ctx, cancel := s.context(command.Context(), commandTimeout)
	defer cancel()
	return do(ctx, planner)
}

func intentFlag(command *cobra.Command) *string {
	path := command.Flags().StringP("file", "f", "", "file with the intents, JSON with comments (required)")
	_ = command.MarkFlagFilename("file", "json", "jsonc") // the flag exists
	return path
}

func loadIntents(command *cobra.Command, path string) (qhintent.File, error) {
	if path == "" {
		return qhintent.File{}, qherr.New(qherr.BadInput, nil, "use -f FILE, see "+command.CommandPath()+" --help", "no file of intents is named")
	}
	return qhintent.Load(path)
}

// newCheck returns the command that only reads intents.
func newCheck(s *session) *cobra.Command {
	command := &cobra.Command{
		Use:   "check -f INTENT",
		Short: "Check a file of intents without asking the platform",
		Long: `Reads a file of intents and says what is wrong with it whatever the
configuration is. What the configuration allows is checked by qhctl plan.`,
		Example: "  qhctl check -f shift.jsonc",
		Args:    exactArgs(),
	}
	path := intentFlag(command)
	command.RunE = s.checkedRun(func(command *cobra.Command, _ []string) error {
		intents, err := loadIntents(command, *path)
		if err != nil {
			return err
		}
		checked := CheckResult{File: *path, Reason: intents.Reason}
		for _, intent := range intents.Intents {
			checked.Intents = append(checked.Intents, intent.String())
		}
		return show(s, command, checked, writeCheckResult)
	})
	return command
}

// CheckResult is a file of intents that can be read.
type CheckResult struct {
	File    string   `json:"file"`
	Reason  string   `json:"reason"`
	Intents []string `json:"intents"`
}

func writeCheckResult(w *qhtext.Writer, checked CheckResult) {
	w.Line("%s: the intents can be read", checked.File)
	w.Field("reason", checked.Reason)
	for _, intent := range checked.Intents {
		w.Field("intent", intent)
	}
}

// newBack returns the command that plans a return.
func newBack(s *session) *cobra.Command {
	command := &cobra.Command{
		Use:   "back VERSION",
		Short: "Plan the return to the content of an old version",
		Long: `Makes a plan that returns to the whole content of an old version. Confirmed, it
is a new version: versions only grow.`,
		Example: "  qhctl back 11 --reason \"12 sends look-ups to targets that are cold\"",
		Args:    exactArgs("VERSION"),
	}
	reason := command.Flags().String("reason", "", "why, for colleagues")
	command.RunE = s.checkedRun(func(command *cobra.Command, args []string) error {
		version, err := parseVersion(args[0])
		if err != nil {
			return err
		}
		if *reason == "" {
			*reason = fmt.Sprintf("return to version %d", version)
		}
		return s.plan(command, qhintent.NewRollback(version, *reason))
	})
	return command
}

// newConfirm returns the command that puts a plan in effect.
func newConfirm(s *session) *cobra.Command {
	command := &cobra.Command{
		Use:   "confirm PLAN",
		Short: "Put a plan in effect as the next version",
		Long: `Moves the head to the version that the plan makes. A plan takes effect once at
most, however often it is confirmed. Where other versions followed its base, it
is rebased if neither touches what the other does, and refused otherwise.

Exit status 4 says that the platform's answer was lost and could not be found
out. Confirm again, or ask qhctl explain PLAN.`,
		Example: "  qhctl confirm p12-0123456789ab",
		Args:    exactArgs("PLAN"),
	}
	command.RunE = s.checkedRun(func(command *cobra.Command, args []string) error {
		author, err := s.author()
		if err != nil {
			return err
		}
		return withPlanner(s, command, func(ctx context.Context, planner *qhplan.Planner) error {
			confirmed, err := planner.Confirm(ctx, qhid.Plan(args[0]), author)
			if err != nil {
				return err
			}
			return show(s, command, confirmed, (*qhtext.Writer).Confirmation)
		})
	})
	return command
}
