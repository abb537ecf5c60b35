// Command measure runs fleets of several sizes on this machine and prints, for
// each, convergence time, control bytes, the platform's calls, and the
// processor time and memory of a node. It is no test: nothing is a bound.
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

// patience bounds the measurement of one fleet.
const patience = 5 * time.Minute

// preface tells what the columns are.
const preface = `Settings of %s, %d changes, %s without a change, all on one machine.
Convergence time is from the start of qhctl confirm to when a node has the
version in force, over all nodes and changes. Bytes are what a node sent to
other nodes; those of a change leave out what the same time without a change
takes. Processor and memory are those of one node process.

`

// options are the flags.
type options struct {
	bin, deployment string
	sizes           []int
	changes         int
	idle            time.Duration
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
	opts := options{sizes: []int{8, 16, 32, 64}, changes: 10, idle: 10 * time.Second}
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
	flags.StringVar(&opts.bin, "bin", "bin", "folder of the programs")
	flags.StringVar(&opts.deployment, "deployment", "ingoma", "deployment whose settings are used: a folder under examples")
	flags.IntSliceVar(&opts.sizes, "sizes", opts.sizes, "numbers of nodes")
	flags.IntVar(&opts.changes, "changes", opts.changes, "changes to a fleet")
	flags.DurationVar(&opts.idle, "idle", opts.idle, "how long a fleet is watched without a change")
	return cmd
}

func run(ctx context.Context, opts options) error {
	deployment, err := qhsite.LoadDeployment(filepath.Join("examples", opts.deployment))
	if err != nil {
		return err
	}
	fmt.Printf(preface, deployment.Name, opts.changes, opts.idle)
	var results []result
	for _, size := range opts.sizes {
		fmt.Fprintf(os.Stderr, "measuring %d nodes\n", size)
		found, err := measure(ctx, opts, deployment.Scaled(size))
		if err != nil {
			return qherr.New(qherr.Internal, err, "see the output above", "%d nodes", size)
		}
		results = append(results, found)
	}
	return printTable(os.Stdout, results)
}

// measure measures one fleet.
func measure(ctx context.Context, opts options, deployment qhsite.Deployment) (result, error) {
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	site, stop, err := qhsite.New(ctx, qhsite.Options{Programs: qhsite.ProgramsIn(opts.bin), Deployment: deployment})
	if err != nil {
		return result{}, err
	}
	defer stop()
	fleet := &fleet{site: site, options: opts}
	return fleet.measure(ctx)
}
