// Command demo runs a deployment of the examples on this machine. It starts a
// fake platform and, for each target of the deployment, a node and a test target.
// It then makes the changes and calls of the deployment's steps with the real
// programs, and stops all processes that it started.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"quetzalhaven.dev/qherr"
	"quetzalhaven.dev/qhsite"
)

// demoTimeout bounds a run of the demo.
const demoTimeout = 3 * time.Minute

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := newCommand().ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
		stop()
		os.Exit(int(qherr.StatusOf(err)))
	}
}

func newCommand() *cobra.Command {
	var bin, deployment string
	var hold bool
	cmd := &cobra.Command{
		Use:           "demo",
		Short:         "Run a deployment of the examples on this machine",
		Example:       "  demo --bin bin --deployment feirarte",
		Args:          cobra.NoArgs,
		SilenceErrors: true,
		SilenceUsage:  true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if hold {
				return holdSite(cmd.Context(), bin, deployment)
			}
			ctx, cancel := context.WithTimeout(cmd.Context(), demoTimeout)
			defer cancel()
			return run(ctx, bin, deployment)
		},
	}
	cmd.Flags().StringVar(&bin, "bin", "bin", "folder with the programs")
	cmd.Flags().StringVar(&deployment, "deployment", "ingoma", "deployment, a folder under examples")
	cmd.Flags().BoolVar(&hold, "hold", false, "start the fleet without a configuration and keep it running until interrupted")
	return cmd
}

// startSite starts the fleet of a deployment. The returned function stops it.
func startSite(ctx context.Context, bin, name string) (*qhsite.Site, func(), error) {
	deployment, err := qhsite.LoadDeployment(filepath.Join("examples", name))
	if err != nil {
		return nil, nil, err
	}
	return qhsite.New(ctx, qhsite.Options{Programs: qhsite.ProgramsIn(bin), Deployment: deployment})
}

// run runs the steps of a deployment.
func run(ctx context.Context, bin, name string) error {
	site, stop, err := startSite(ctx, bin, name)
	if err != nil {
		return err
	}
	defer stop()
	d := &demo{site: site, out: os.Stdout}
	if err := d.run(ctx); err != nil {
		return explainError(ctx, err)
	}
	d.printf("The demo has finished. Stopping all processes.")
	return nil
}

// explainError replaces an error that results from the end of ctx by one that
// names the cause: an interrupt or the timeout.
func explainError(ctx context.Context, err error) error {
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		return qherr.New(qherr.Internal, nil, "all processes were stopped", "interrupted")
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return qherr.New(qherr.Internal, err, "check whether the machine is overloaded", "the demo did not finish within %s", demoTimeout)
	default:
		return err
	}
}
