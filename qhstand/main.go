// Command qhstand runs the servers that integration tests and the demo use: a
// fake platform, which serves the object API from memory, and a test target.
// Both can inject faults.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"quetzalhaven.dev/qherr"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := newCommand().ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "qhstand:", err)
		stop()
		os.Exit(int(qherr.StatusOf(err)))
	}
}

func newCommand() *cobra.Command {
	root := &cobra.Command{
		Use:           "qhstand",
		Short:         "Test servers: a fake platform and a test target",
		SilenceErrors: true,
		SilenceUsage:  true,
		Args:          rejectArgs,
		RunE:          func(cmd *cobra.Command, _ []string) error { return cmd.Help() },
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error {
		return qherr.New(qherr.BadInput, err, "see qhstand --help", "invalid usage")
	})
	root.AddCommand(newPlatformCommand(), newTargetCommand())
	return root
}

// rejectArgs is the cobra.PositionalArgs of commands without arguments.
func rejectArgs(cmd *cobra.Command, args []string) error {
	if len(args) == 0 {
		return nil
	}
	return qherr.New(qherr.BadInput, nil, "see "+cmd.CommandPath()+" --help", "%s does not accept the command or argument %q", cmd.CommandPath(), args[0])
}
