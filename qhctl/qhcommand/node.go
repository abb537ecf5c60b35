package qhcommand

import (
	"context"
	"encoding/json"

	"github.com/spf13/cobra"

	"quetzalhaven.dev/qhctl/qhask"
	"quetzalhaven.dev/qhctl/qhtext"
	"quetzalhaven.dev/qhid"
)

// newDump returns the command that shows the full state of a node.
func newDump(s *session) *cobra.Command {
	command := &cobra.Command{
		Use:   "dump [NODE-ADDRESS]",
		Short: "Show the full state of a node as JSON",
		Long: `Shows the state of the node at the address, or of the node given by --node: the
settings in use, the version in force and the refused ones, members, links,
targets as announced and as observed, and recent decisions. The output is always
JSON.`,
		Example: "  qhctl dump 10.0.0.4:7105",
		Args:    optionalNodeAddress,
	}
	command.RunE = s.checkedRun(func(command *cobra.Command, args []string) error {
		return withNode(s, command, addressArg(args), func(ctx context.Context, node *qhask.Client) error {
			dump, err := node.Dump(ctx)
			if err != nil {
				return err
			}
			return show(s, command, dump, func(w *qhtext.Writer, dump json.RawMessage) { w.Line("%s", dump) })
		})
	})
	return command
}

// newMembers returns the command that lists the members that a node knows.
func newMembers(s *session) *cobra.Command {
	command := &cobra.Command{
		Use:     "members [NODE-ADDRESS]",
		Short:   "List the nodes and targets that a node knows",
		Example: "  qhctl members --node 10.0.0.4:7105",
		Args:    optionalNodeAddress,
	}
	command.RunE = s.checkedRun(func(command *cobra.Command, args []string) error {
		return withNode(s, command, addressArg(args), func(ctx context.Context, node *qhask.Client) error {
			members, err := node.Members(ctx)
			if err != nil {
				return err
			}
			return show(s, command, members, (*qhtext.Writer).Members)
		})
	})
	return command
}

// optionalNodeAddress accepts at most one argument.
func optionalNodeAddress(command *cobra.Command, args []string) error {
	if len(args) == 0 {
		return nil
	}
	return exactArgs("NODE-ADDRESS")(command, args)
}

func addressArg(args []string) qhid.Address {
	if len(args) == 0 {
		return ""
	}
	return qhid.Address(args[0])
}
