package qhcommand

import (
	"context"

	"github.com/spf13/cobra"

	"quetzalhaven.dev/qhcrash"
	"quetzalhaven.dev/qhctl/qhask"
	"quetzalhaven.dev/qhctl/qhtext"
)

// newRollouts returns the command that shows the roll-outs that a node knows.
func newRollouts(s *session) *cobra.Command {
	command := &cobra.Command{
		Use:   "rollouts [NODE-ADDRESS]",
		Short: "Show the roll-outs of services to other software versions",
		Long: `Shows the roll-outs as the node at the address, or the node given by --node,
knows them: phase, used time, exposed targets, answers of the new version and of
those that it is compared with, and why it is in its phase.`,
		Example: "  qhctl rollouts --node 10.0.0.4:7105",
		Args:    optionalNodeAddress,
	}
	command.RunE = s.checkedRun(func(command *cobra.Command, args []string) error {
		return withNode(s, command, addressArg(args), func(ctx context.Context, node *qhask.Client) error {
			rollouts, err := node.Rollouts(ctx)
			if err != nil {
				return err
			}
			return show(s, command, rollouts, (*qhtext.Writer).Rollouts)
		})
	})
	return command
}

// newTenants returns the command that lists the tenants that a node knows.
func newTenants(s *session) *cobra.Command {
	command := &cobra.Command{
		Use:   "tenants [NODE-ADDRESS]",
		Short: "List tenants with their allowances, use and fingerprints of keys",
		Long: `Lists the tenants as the node at the address, or the node given by --node, knows
them: allowance over all nodes, calls a second and refusals on this node, and the
fingerprints of their keys. Keys are not known to nodes.`,
		Example: "  qhctl tenants --node 10.0.0.4:7105",
		Args:    optionalNodeAddress,
	}
	command.RunE = s.checkedRun(func(command *cobra.Command, args []string) error {
		return withNode(s, command, addressArg(args), func(ctx context.Context, node *qhask.Client) error {
			tenants, err := node.Tenants(ctx)
			if err != nil {
				return err
			}
			return show(s, command, tenants, (*qhtext.Writer).Tenants)
		})
	})
	return command
}

// newCrashes returns the command that lists the requests under which targets ended.
func newCrashes(s *session) *cobra.Command {
	command := &cobra.Command{
		Use:   "crashes [NODE-ADDRESS]",
		Short: "List requests under which targets ended, and which are quarantined",
		Long: `Lists the requests under which targets of the service of the node at the address,
or of the node given by --node, ended without a success since. After three ends a
request is quarantined: the nodes of the service refuse it as not executed.`,
		Example: "  qhctl crashes --node 10.0.0.4:7105",
		Args:    optionalNodeAddress,
	}
	command.RunE = s.checkedRun(func(command *cobra.Command, args []string) error {
		return withNode(s, command, addressArg(args), func(ctx context.Context, node *qhask.Client) error {
			crashes, err := node.Crashes(ctx)
			if err != nil {
				return err
			}
			return show(s, command, crashes, (*qhtext.Writer).Crashes)
		})
	})
	return command
}

// newRelease returns the command that ends the quarantine of a request.
func newRelease(s *session) *cobra.Command {
	command := &cobra.Command{
		Use:   "release FINGERPRINT",
		Short: "End the quarantine of a request on all nodes of its service",
		Long: `Ends the quarantine of the request with the fingerprint that qhctl crashes and the
refusals show. The node given by --node must be one of the service; it tells the others.`,
		Example: "  qhctl release qm3JxTgA0bW1 --node 10.0.0.4:7105",
		Args:    exactArgs("FINGERPRINT"),
	}
	command.RunE = s.checkedRun(func(command *cobra.Command, args []string) error {
		return withNode(s, command, "", func(ctx context.Context, node *qhask.Client) error {
			request := qhcrash.Fingerprint(args[0])
			if err := node.Release(ctx, request); err != nil {
				return err
			}
			return show(s, command, request, (*qhtext.Writer).Released)
		})
	})
	return command
}
