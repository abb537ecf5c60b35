package main

import (
	"time"

	"github.com/spf13/cobra"

	"quetzalhaven.dev/qhplatform"
	"quetzalhaven.dev/qhstand/qhserve"
)

// platformShutdownTimeout bounds how long a shutdown waits for in-flight
// requests. It is short, since a shutdown does not end waiting watches.
const platformShutdownTimeout = time.Second

func newPlatformCommand() *cobra.Command {
	var listen string
	var opts qhplatform.FakeOptions
	cmd := &cobra.Command{
		Use:   "platform",
		Short: "Serve the platform's object API from memory",
		Long: "Serves the object API at /v1/objects. PUT /v1/faults sets the faults to inject, " +
			"GET /v1/counts returns the number of requests so far.",
		Args: rejectArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return qhserve.Run(cmd.Context(), qhserve.Options{
				Listen:          listen,
				Handler:         qhplatform.NewHandler(qhplatform.NewFake(opts)),
				Output:          cmd.OutOrStdout(),
				ShutdownTimeout: platformShutdownTimeout,
			})
		},
	}
	cmd.Flags().StringVar(&listen, "listen", "127.0.0.1:7000", "address to listen on; port 0 selects a free port")
	cmd.Flags().DurationVar(&opts.WatchTimeout, "watch", 0, "maximum duration of a watch without a change (default 10s)")
	return cmd
}
