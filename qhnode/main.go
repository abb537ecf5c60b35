// Command qhnode is the one small process on each target VM: it takes calls,
// forwards them, guards its own targets, and shares membership and
// configuration with other nodes.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"quetzalhaven.dev/platform"
	"quetzalhaven.dev/qherr"
	"quetzalhaven.dev/qhgroup"
	"quetzalhaven.dev/qhlog"
	"quetzalhaven.dev/qhnode/qhserve"
	"quetzalhaven.dev/qhsetting"
)

// version is set by the build.
var version = "unknown" //nolint:gochecknoglobals // the linker sets it

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := newCommand().ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "qhnode:", err)
		stop()
		os.Exit(int(qherr.StatusOf(err))) //nolint:gocritic // stop has run
	}
}

// newCommand returns the command line.
func newCommand() *cobra.Command {
	root := &cobra.Command{
		Use:   "qhnode",
		Short: "The process of quetzalhaven on each target VM",
		Long: `qhnode takes calls, forwards them, guards the targets of its VM, and shares
membership and configuration with other nodes.

Exit statuses: 0 done, 1 failed, 2 bad use or settings.`,
		Version:       version,
		Args:          noArgs,
		RunE:          func(command *cobra.Command, _ []string) error { return command.Help() },
		SilenceErrors: true,
		SilenceUsage:  true,
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error {
		return qherr.New(qherr.BadInput, err, "see qhnode --help", "bad use")
	})
	root.AddCommand(newRun(), newCheck())
	return root
}

// newRun returns the command that serves until it is told to stop.
func newRun() *cobra.Command {
	return newSettingsCommand(&cobra.Command{
		Use:     "run --settings FILE",
		Short:   "Serve until SIGTERM or SIGINT, then stop without cutting calls",
		Example: "  qhnode run --settings /etc/quetzalhaven/node.jsonc",
	}, func(command *cobra.Command, path string, settings qhsetting.Node) error {
		log, flush, err := qhlog.New(settings.Log, "qhnode", version)
		if err != nil {
			return err
		}
		defer flush()
		group, stop := qhgroup.New(command.Context())
		defer stop()
		return qhserve.Run(command.Context(), qhserve.Options{
			Settings: settings, Build: version, Log: log, SettingsUpdates: watchSettings(group, path, log),
		})
	})
}

// newCheck returns the command that only reads the settings.
func newCheck() *cobra.Command {
	return newSettingsCommand(&cobra.Command{
		Use:     "check --settings FILE",
		Short:   "Check settings without serving",
		Example: "  qhnode check --settings /etc/quetzalhaven/node.jsonc",
	}, func(command *cobra.Command, path string, settings qhsetting.Node) error {
		_, err := fmt.Fprintf(command.OutOrStdout(), "%s: settings of node %s in availability zone %s are good\n", path, settings.ID, settings.Zone)
		return err
	})
}

// newSettingsCommand completes a command that reads the settings first.
func newSettingsCommand(command *cobra.Command, run func(command *cobra.Command, path string, settings qhsetting.Node) error) *cobra.Command {
	command.Args = noArgs
	path := settingsFlag(command)
	command.RunE = func(command *cobra.Command, _ []string) error {
		if *path == "" {
			*path = platform.SettingsPath()
		}
		if *path == "" {
			return qherr.New(qherr.BadInput, nil, "name the file by --settings FILE", "%s needs settings", command.CommandPath())
		}
		settings, err := qhsetting.LoadNode(*path)
		if err != nil {
			return err
		}
		return run(command, *path, settings)
	}
	return command
}

func settingsFlag(command *cobra.Command) *string {
	path := command.Flags().String("settings", "", "file with the settings, JSON with comments (required)")
	_ = command.MarkFlagFilename("settings") // the flag exists
	return path
}

func noArgs(command *cobra.Command, args []string) error {
	if len(args) == 0 {
		return nil
	}
	return qherr.New(qherr.BadInput, nil, "see "+command.CommandPath()+" --help", "%s does not know %q", command.CommandPath(), args[0])
}
