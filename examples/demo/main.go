// Command demo runs a deployment of the examples on this machine: the platform's
// stand-in, a node and a target for each endpoint, and the changes and calls of
// the deployment's steps by the real programs. It ends all that it started.
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

// patience bounds the whole demo.
const patience = 3 * time.Minute

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
				return holdFleet(cmd.Context(), bin, deployment)
			}
			ctx, cancel := context.WithTimeout(cmd.Context(), patience)
			defer cancel()
			return run(ctx, bin, deployment)
		},
	}
	cmd.Flags().StringVar(&bin, "bin", "bin", "folder of the programs")
	cmd.Flags().StringVar(&deployment, "deployment", "ingoma", "deployment: a folder under examples")
	cmd.Flags().BoolVar(&hold, "hold", false, "change nothing, and keep the fleet running until interrupted")
	return cmd
}

// start starts a fleet of a deployment.
func start(ctx context.Context, bin, name string) (*qhsite.Site, func(), error) {
	deployment, err := qhsite.LoadDeployment(filepath.Join("examples", name))
	if err != nil {
		return nil, nil, err
	}
	return qhsite.New(ctx, qhsite.Options{Programs: qhsite.ProgramsIn(bin), Deployment: deployment})
}

// run shows the steps of a deployment.
func run(ctx context.Context, bin, name string) error {
	site, stop, err := start(ctx, bin, name)
	if err != nil {
		return err
	}
	defer stop()
	d := &demo{site: site, out: os.Stdout}
	if err := d.run(ctx); err != nil {
		return explain(ctx, err)
	}
	d.say("All was done. The processes end now.")
	return nil
}

// explain names the end of the context, which other errors follow from.
func explain(ctx context.Context, err error) error {
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		return qherr.New(qherr.Internal, nil, "all processes were ended", "interrupted")
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return qherr.New(qherr.Internal, err, "see whether the machine is busy", "not done within %s", patience)
	default:
		return err
	}
}
