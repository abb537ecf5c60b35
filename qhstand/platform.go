package main

import (
	"time"

	"github.com/spf13/cobra"

	"quetzalhaven.dev/qhplatform"
	"quetzalhaven.dev/qhstand/qhserve"
)

// platformStop bounds how long a stop waits for calls in flight.
const platformStop = time.Second

func newPlatformCommand() *cobra.Command {
	var listen string
	var opts qhplatform.MemoryOptions
	cmd := &cobra.Command{
		Use:   "platform",
		Short: "Serve the platform's object API from memory",
		Long: "Serves the object API at /v1/objects. PUT /v1/faults switches faults, " +
			"GET /v1/counts tells the calls so far.",
		Args: noArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return qhserve.Run(cmd.Context(), qhserve.Options{
				Listen:  listen,
				Handler: qhplatform.NewHandler(qhplatform.NewMemory(opts)),
				Out:     cmd.OutOrStdout(),
				Grace:   platformStop,
			})
		},
	}
	cmd.Flags().StringVar(&listen, "listen", "127.0.0.1:7000", "address to listen on; port 0 takes any")
	cmd.Flags().DurationVar(&opts.WatchTimeout, "watch", 0, "bound of a waiting watch (default 10s)")
	return cmd
}
