package main

import (
	"context"
	"time"

	"github.com/spf13/cobra"
	"go.uber.org/zap"

	"quetzalhaven.dev/qherr"
	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhstand/qhserve"
	"quetzalhaven.dev/qhstand/qhtarget"
)

// Defaults of the flags of the target command.
const (
	defaultSlots           = 9
	defaultConnections     = 120
	defaultShutdownDelay   = 200 * time.Millisecond
	defaultShutdownTimeout = 30 * time.Second
)

// targetFlags holds the flags of the target command.
type targetFlags struct {
	qhtarget.Options
	id, service, zone string
	listen            string
	shutdownTimeout   time.Duration
}

func newTargetCommand() *cobra.Command {
	var flags targetFlags
	cmd := &cobra.Command{
		Use:   "target",
		Short: "Serve calls as a test target that announces itself to a node",
		Long: "Echoes each call. GET /qhstand/record returns the calls that were executed, " +
			"PUT /qhstand/faults sets the faults to inject, PUT /qhstand/drain announces the target as leaving.",
		Args: rejectArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return flags.run(cmd) },
	}
	flagSet := cmd.Flags()
	flagSet.StringVar(&flags.listen, "listen", "127.0.0.1:0", "address to listen on; port 0 selects a free port")
	flagSet.StringVar(&flags.id, "id", "", "id of the target, unique in the fleet")
	flagSet.StringVar(&flags.service, "service", "", "name of the service")
	flagSet.StringVar(&flags.zone, "zone", "", "availability zone, reported in responses")
	flagSet.StringVar(&flags.Node, "node", "", "URL at which the node on this VM accepts announcements; not announced if empty")
	flagSet.IntVar(&flags.Slots, "slots", defaultSlots, "maximum number of calls executed at a time")
	flagSet.IntVar(&flags.MaxConnections, "connections", defaultConnections, "announced maximum number of open connections")
	flagSet.DurationVar(&flags.ServiceTime, "time", 0, "service time of a call")
	flagSet.DurationVar(&flags.WarmUp, "cold", 0, "warm-up time after the start, during which calls take longer")
	flagSet.DurationVar(&flags.ShutdownDelay, "linger", defaultShutdownDelay, "how long calls are accepted after the announcement was withdrawn")
	flagSet.DurationVar(&flags.shutdownTimeout, "grace", defaultShutdownTimeout, "how long a shutdown waits for in-flight calls")
	return cmd
}

func (f *targetFlags) run(cmd *cobra.Command) error {
	if f.id == "" || f.service == "" || f.Slots < 1 {
		return qherr.New(qherr.BadInput, nil, "give --id, --service and --slots of at least 1", "invalid usage: a target requires an id, a service and at least one slot")
	}
	log, err := zap.NewProduction()
	if err != nil {
		return err
	}
	f.ID, f.Service, f.Zone, f.Log = qhid.Target(f.id), qhid.Service(f.service), qhid.Zone(f.zone), log
	target := qhtarget.New(f.Options)
	var announcer *qhtarget.Announcer
	return qhserve.Run(cmd.Context(), qhserve.Options{
		Listen:          f.listen,
		Handler:         target.Handler(),
		ConnState:       target.ConnState,
		Output:          cmd.OutOrStdout(),
		ShutdownTimeout: f.shutdownTimeout,
		OnListening: func(ctx context.Context, address qhid.Address) {
			announcer = target.Announce(ctx, address)
		},
		OnShutdown: func(ctx context.Context) { announcer.Withdraw(ctx) },
	})
}
