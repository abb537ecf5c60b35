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
		Args:          cobra.NoArgs,
		RunE:          func(cmd *cobra.Command, _ []string) error { return cmd.Help() },
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error {
		return qherr.New(qherr.BadInput, err, "see qhstand --help", "bad flags")
	})
	root.AddCommand(newPlatformCommand(), newTargetCommand())
	return root
}
