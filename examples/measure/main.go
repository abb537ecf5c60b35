// Command measure runs fleets of several sizes on this machine and prints, for
// each, convergence time, control bytes, calls to the platform, and the CPU
// usage and memory of a node. It checks no limits.
package main

import (
	"context"
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

// fleetTimeout bounds the measurement of one fleet.
const fleetTimeout = 5 * time.Minute

// header explains the columns of the table.
const header = `Settings of %s, %d changes, %s idle (without a change), all on one machine.
Convergence time is the time from the start of qhctl confirm until the version
is in force on a node, over all nodes and changes. Bytes are the control bytes
that a node sent to other nodes; those of a change exclude the idle traffic of
the same duration. CPU and memory are per node process.

`

// options holds the values of the flags.
type options struct {
	bin, deployment string
	sizes           []int
	changes         int
	idleTime        time.Duration
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := newCommand().ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "measure:", err)
		stop()
		os.Exit(int(qherr.StatusOf(err)))
	}
}

func newCommand() *cobra.Command {
	opts := options{sizes: []int{8, 16, 32, 64}, changes: 10, idleTime: 10 * time.Second}
	cmd := &cobra.Command{
		Use:           "measure",
		Short:         "Measure fleets of several sizes on this machine",
		Example:       "  measure --bin bin --deployment feirarte --sizes 8,128 --changes 20",
		Args:          cobra.NoArgs,
		SilenceErrors: true,
		SilenceUsage:  true,
		RunE:          func(cmd *cobra.Command, _ []string) error { return run(cmd.Context(), opts) },
	}
	flags := cmd.Flags()
	flags.StringVar(&opts.bin, "bin", "bin", "folder with the programs")
	flags.StringVar(&opts.deployment, "deployment", "ingoma", "deployment whose settings are used, a folder under examples")
	flags.IntSliceVar(&opts.sizes, "sizes", opts.sizes, "fleet sizes to measure, in nodes")
	flags.IntVar(&opts.changes, "changes", opts.changes, "number of changes measured per fleet")
	flags.DurationVar(&opts.idleTime, "idle", opts.idleTime, "how long a fleet is measured without a change")
	return cmd
}

func run(ctx context.Context, opts options) error {
	deployment, err := qhsite.LoadDeployment(filepath.Join("examples", opts.deployment))
	if err != nil {
		return err
	}
	fmt.Printf(header, deployment.Name, opts.changes, opts.idleTime)
	var results []fleetResult
	for _, size := range opts.sizes {
		fmt.Fprintf(os.Stderr, "measuring %d nodes\n", size)
		result, err := measure(ctx, opts, deployment.Scaled(size))
		if err != nil {
			return qherr.New(qherr.Internal, err, "see the output above", "cannot measure a fleet of %d nodes", size)
		}
		results = append(results, result)
	}
	return printTable(os.Stdout, results)
}

// measure starts a fleet of the deployment, measures it and stops it.
func measure(ctx context.Context, opts options, deployment qhsite.Deployment) (fleetResult, error) {
	ctx, cancel := context.WithTimeout(ctx, fleetTimeout)
	defer cancel()
	site, stop, err := qhsite.New(ctx, qhsite.Options{Programs: qhsite.ProgramsIn(opts.bin), Deployment: deployment})
	if err != nil {
		return fleetResult{}, err
	}
	defer stop()
	fleet := &fleet{site: site, options: opts}
	return fleet.measure(ctx)
}
