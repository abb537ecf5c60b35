// Package qhcommand has the commands of qhctl.
package qhcommand

import (
	"github.com/spf13/cobra"

	"quetzalhaven.dev/qherr"
)

// Options are what the commands take from their process.
type Options struct {
	// Build is what --version tells.
	Build string
	// Getenv reads an environment variable.
	Getenv func(name string) string
	// User returns the user of the system, who is the author where no other
	// is named.
	User func() string
}

const longHelp = `qhctl plans, confirms and explains changes of the configuration, and tells how
far they are in force.

An intent becomes a plan, which shows what will change, where and why. Nothing
happens until the plan is confirmed.

The platform and a node are found by flags, then by the environment
(QHCTL_PLATFORM, QHCTL_NODE, QHCTL_AUTHOR), then by the settings file that
--settings or QHCTL_SETTINGS names: JSON with comments, and the keys platform,
node and author.

Exit statuses: 0 done, 1 failed, 2 bad use or input, 3 refused by a check,
4 outcome unknown.`

// New returns the command line.
func New(options Options) *cobra.Command {
	s := &session{Options: options}
	root := &cobra.Command{
		Use:           "qhctl",
		Short:         "The operators' command line of quetzalhaven",
		Long:          longHelp,
		Example:       "  qhctl plan -f shift.jsonc\n  qhctl confirm p12-0123456789ab\n  qhctl status --wait",
		Version:       options.Build,
		SilenceErrors: true,
		SilenceUsage:  true,
		Args:          unknownCommand,
		RunE:          func(command *cobra.Command, _ []string) error { return command.Help() },
	}
	root.SetFlagErrorFunc(func(command *cobra.Command, err error) error {
		return qherr.New(qherr.BadInput, err, "see "+command.CommandPath()+" --help", "bad use")
	})
	s.addFlags(root)
	root.AddCommand(
		newPlan(s), newConfirm(s), newBack(s), newStatus(s), newHistory(s),
		newExplain(s), newDump(s), newMembers(s), newCheck(s), newPrune(s),
	)
	return root
}

func unknownCommand(command *cobra.Command, args []string) error {
	if len(args) == 0 {
		return nil
	}
	return qherr.New(qherr.BadInput, nil, "see "+command.CommandPath()+" --help", "there is no command %q", args[0])
}

// exactArgs takes so many arguments, named as in the usage line.
func exactArgs(names ...string) cobra.PositionalArgs {
	return func(command *cobra.Command, args []string) error {
		if len(args) < len(names) {
			return qherr.New(qherr.BadInput, nil, "see "+command.CommandPath()+" --help", "%s needs %s", command.CommandPath(), names[len(args)])
		}
		if len(args) > len(names) {
			return qherr.New(qherr.BadInput, nil, "see "+command.CommandPath()+" --help", "%s does not take %q", command.CommandPath(), args[len(names)])
		}
		return nil
	}
}
