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

// newPlan returns the command that makes a plan from intents.
func newPlan(s *session) *cobra.Command {
	command := &cobra.Command{
		Use:   "plan -f INTENT",
		Short: "Make a plan from a file of intents, without changing anything",
		Long: `Applies the intents in a file, JSON with comments, to the newest version and
stores the result as a plan on the platform. The plan shows what will change,
where and why. Nothing changes until it is confirmed.

A file has a "reason" and a list of "intents". Each intent has a verb "do", a
"service", "route" or "version" that it applies to, an optional reason "why",
and these fields:

` + qhintent.Help() + `
A shift sets from, to and percent, or all shares. The retry policy "repeat" of a
route is "never", "safe" (calls may execute more than once) or "keyed" (at most
once per Idempotency-Key).`,
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

// plan makes a plan from intents and shows it.
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

// withPlanner calls do with a planner and with the timeout of the command.
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
		return qhintent.File{}, qherr.New(qherr.BadInput, nil, "use -f FILE, see "+command.CommandPath()+" --help", "no intent file is given")
	}
	return qhintent.Load(path)
}

// newCheck returns the command that validates an intent file.
func newCheck(s *session) *cobra.Command {
	command := &cobra.Command{
		Use:   "check -f INTENT",
		Short: "Validate a file of intents without the platform",
		Long: `Validates a file of intents independently of the configuration. Whether the
intents can be applied to the configuration is checked by qhctl plan.`,
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

// CheckResult describes a valid intent file.
type CheckResult struct {
	File    string   `json:"file"`
	Reason  string   `json:"reason"`
	Intents []string `json:"intents"`
}

func writeCheckResult(w *qhtext.Writer, checked CheckResult) {
	w.Line("%s: the intents are valid", checked.File)
	w.Field("reason", checked.Reason)
	for _, intent := range checked.Intents {
		w.Field("intent", intent)
	}
}

// newBack returns the command that plans a rollback.
func newBack(s *session) *cobra.Command {
	command := &cobra.Command{
		Use:   "back VERSION",
		Short: "Plan the rollback to the content of an old version",
		Long: `Makes a plan that restores the full content of an old version. When confirmed,
it creates a new version, since versions only increase.`,
		Example: "  qhctl back 11 --reason \"12 sends look-ups to targets that are cold\"",
		Args:    exactArgs("VERSION"),
	}
	reason := command.Flags().String("reason", "", "reason for the rollback")
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

// newConfirm returns the command that confirms a plan.
func newConfirm(s *session) *cobra.Command {
	command := &cobra.Command{
		Use:   "confirm PLAN",
		Short: "Commit a plan as the next version",
		Long: `Commits a plan as the next version. A plan takes effect at most once, however
often it is confirmed. If newer versions followed its base, the plan is rebased
onto the newest one, provided that neither side writes what the other writes or
reads. Otherwise it is refused.

Exit status 4 means that the platform's response was lost and the outcome is not
known. Confirm again, or run qhctl explain PLAN.`,
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
