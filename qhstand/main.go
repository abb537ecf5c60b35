// Command qhstand runs stand-ins for tests and the demo: the platform's object
// API with a switch for each fault, and a target.
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
		Short:         "Stand-ins for tests and the demo",
		SilenceErrors: true,
		SilenceUsage:  true,
		Args:          noArgs,
		RunE:          func(cmd *cobra.Command, _ []string) error { return cmd.Help() },
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error {
		return qherr.New(qherr.BadInput, err, "see qhstand --help", "bad flags")
	})
	root.AddCommand(newPlatformCommand(), newTargetCommand())
	return root
}

// noArgs refuses arguments, which are commands that do not exist.
func noArgs(cmd *cobra.Command, args []string) error {
	if len(args) == 0 {
		return nil
	}
	return qherr.New(qherr.BadInput, nil, "see "+cmd.CommandPath()+" --help", "%s has no command %q", cmd.CommandPath(), args[0])
}
