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

// Presets of the flags of a target.
const (
	presetSlots       = 9
	presetConnections = 120
	presetLinger      = 200 * time.Millisecond
	presetGrace       = 30 * time.Second
)

// targetFlags are the flags of the target command.
type targetFlags struct {
	qhtarget.Options
	id, service, zone string
	listen            string
	grace             time.Duration
}

func newTargetCommand() *cobra.Command {
	var flags targetFlags
	cmd := &cobra.Command{
		Use:   "target",
		Short: "Serve calls as a target that announces itself to a node",
		Long: "Echoes each call. GET /qhstand/record tells the calls that ran, " +
			"PUT /qhstand/faults switches faults, PUT /qhstand/drain announces that it leaves.",
		Args: noArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return flags.run(cmd) },
	}
	set := cmd.Flags()
	set.StringVar(&flags.listen, "listen", "127.0.0.1:0", "address to listen on; port 0 takes any")
	set.StringVar(&flags.id, "id", "", "id of the target, unique in the fleet")
	set.StringVar(&flags.service, "service", "", "name of the service")
	set.StringVar(&flags.zone, "zone", "", "availability zone, for the answers")
	set.StringVar(&flags.Node, "node", "", "URL where the node of this VM takes announcements; none without")
	set.IntVar(&flags.Slots, "slots", presetSlots, "calls that run at a time")
	set.IntVar(&flags.Connections, "connections", presetConnections, "announced bound of open connections")
	set.DurationVar(&flags.Time, "time", 0, "how long a call runs")
	set.DurationVar(&flags.Cold, "cold", 0, "how long the target is slow after its start")
	set.DurationVar(&flags.Linger, "linger", presetLinger, "how long calls are taken after the announcement was taken back")
	set.DurationVar(&flags.grace, "grace", presetGrace, "how long a stop waits for calls in flight")
	return cmd
}

func (f *targetFlags) run(cmd *cobra.Command) error {
	if f.id == "" || f.service == "" || f.Slots < 1 {
		return qherr.New(qherr.BadInput, nil, "give --id, --service and --slots of at least 1", "a target without id, service or slots")
	}
	log, err := zap.NewProduction()
	if err != nil {
		return err
	}
	f.ID, f.Service, f.Zone, f.Log = qhid.Target(f.id), qhid.Service(f.service), qhid.Zone(f.zone), log
	target := qhtarget.New(f.Options)
	var announcer *qhtarget.Announcer
	return qhserve.Run(cmd.Context(), qhserve.Options{
		Listen:    f.listen,
		Handler:   target.Handler(),
		ConnState: target.ConnState,
		Out:       cmd.OutOrStdout(),
		Grace:     f.grace,
		Started: func(ctx context.Context, address qhid.Address) {
			announcer = target.Announce(ctx, address)
		},
		Stopping: func(ctx context.Context) { announcer.Withdraw(ctx) },
	})
}
