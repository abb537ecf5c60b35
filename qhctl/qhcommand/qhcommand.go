// Package qhcommand implements the commands of qhctl.
package qhcommand

import (
	"github.com/spf13/cobra"

	"quetzalhaven.dev/qherr"
)

// Options configures New with the environment of the process.
type Options struct {
	// Build is the version printed by --version.
	Build string
	// Getenv returns the value of an environment variable, or "".
	Getenv func(name string) string
	// User returns the name of the current user, the default author.
	User func() string
}

const longHelp = `qhctl plans, confirms and explains configuration changes, and shows on how many
nodes they are in force.

A file of intents becomes a plan, which shows what will change, where and why.
Nothing changes until the plan is confirmed.

The platform, the node and the author are taken from flags, then from the
environment (QHCTL_PLATFORM, QHCTL_NODE, QHCTL_AUTHOR), then from the settings
file given by --settings or QHCTL_SETTINGS: JSON with comments and the keys
platform, node and author.

Exit statuses: 0 done, 1 failed, 2 invalid usage or input, 3 refused by a check,
4 outcome unknown.`

// New returns the root command of qhctl.
func New(options Options) *cobra.Command {
	s := &session{Options: options}
	root := &cobra.Command{
		Use:           "qhctl",
		Short:         "The command line of quetzalhaven for operators",
		Long:          longHelp,
		Example:       "  qhctl plan -f shift.jsonc\n  qhctl confirm p12-0123456789ab\n  qhctl status --wait",
		Version:       options.Build,
		SilenceErrors: true,
		SilenceUsage:  true,
		Args:          unknownCommand,
		RunE:          func(command *cobra.Command, _ []string) error { return command.Help() },
	}
	root.SetFlagErrorFunc(func(command *cobra.Command, err error) error {
		return qherr.New(qherr.BadInput, err, "see "+command.CommandPath()+" --help", "invalid usage")
	})
	s.addFlags(root)
	root.AddCommand(
		newPlan(s), newConfirm(s), newBack(s), newStatus(s), newHistory(s),
		newExplain(s), newDump(s), newMembers(s), newRollouts(s), newTenants(s), newCrashes(s), newRelease(s), newCheck(s), newPrune(s),
	)
	return root
}

func unknownCommand(command *cobra.Command, args []string) error {
	if len(args) == 0 {
		return nil
	}
	return qherr.New(qherr.BadInput, nil, "see "+command.CommandPath()+" --help", "unknown command %q", args[0])
}

// exactArgs requires exactly the given arguments, named as in the usage line.
func exactArgs(names ...string) cobra.PositionalArgs {
	return func(command *cobra.Command, args []string) error {
		if len(args) < len(names) {
			return qherr.New(qherr.BadInput, nil, "see "+command.CommandPath()+" --help", "%s requires %s", command.CommandPath(), names[len(args)])
		}
		if len(args) > len(names) {
			return qherr.New(qherr.BadInput, nil, "see "+command.CommandPath()+" --help", "%s does not accept the argument %q", command.CommandPath(), args[len(names)])
		}
		return nil
	}
}
