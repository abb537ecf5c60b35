// Command qhnode is the node process, one of which runs on each target VM. It
// forwards calls, limits the load of the local targets, and shares membership
// and configuration with other nodes.
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

// version is set by the linker.
var version = "unknown" //nolint:gochecknoglobals // set by the linker

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := newCommand().ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "qhnode:", err)
		stop()
		os.Exit(int(qherr.StatusOf(err))) //nolint:gocritic // stop has run
	}
}

// newCommand returns the root command.
func newCommand() *cobra.Command {
	root := &cobra.Command{
		Use:   "qhnode",
		Short: "The quetzalhaven node, one process on each target VM",
		Long: `qhnode forwards calls, limits the load of the targets on its VM, and shares
membership and configuration with other nodes.

Exit statuses: 0 success, 1 failure, 2 invalid usage or settings.`,
		Version:       version,
		Args:          rejectArgs,
		RunE:          func(command *cobra.Command, _ []string) error { return command.Help() },
		SilenceErrors: true,
		SilenceUsage:  true,
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error {
		return qherr.New(qherr.BadInput, err, "see qhnode --help", "invalid usage")
	})
	root.AddCommand(newRunCommand(), newCheckCommand())
	return root
}

// newRunCommand returns the command that serves until the process is stopped.
func newRunCommand() *cobra.Command {
	return newSettingsCommand(&cobra.Command{
		Use:     "run --settings FILE",
		Short:   "Serve until SIGTERM or SIGINT, then drain calls and exit",
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

// newCheckCommand returns the command that validates the settings without
// serving.
func newCheckCommand() *cobra.Command {
	return newSettingsCommand(&cobra.Command{
		Use:     "check --settings FILE",
		Short:   "Check settings without serving",
		Example: "  qhnode check --settings /etc/quetzalhaven/node.jsonc",
	}, func(command *cobra.Command, path string, settings qhsetting.Node) error {
		_, err := fmt.Fprintf(command.OutOrStdout(), "%s: settings of node %s in availability zone %s are valid\n", path, settings.ID, settings.Zone)
		return err
	})
}

// newSettingsCommand adds the settings flag to a command and a RunE that loads
// the settings before run.
func newSettingsCommand(command *cobra.Command, run func(command *cobra.Command, path string, settings qhsetting.Node) error) *cobra.Command {
	command.Args = rejectArgs
	path := addSettingsFlag(command)
	command.RunE = func(command *cobra.Command, _ []string) error {
		if *path == "" {
			*path = platform.SettingsPath()
		}
		if *path == "" {
			return qherr.New(qherr.BadInput, nil, "name the file by --settings FILE", "%s requires a settings file", command.CommandPath())
		}
		settings, err := qhsetting.LoadNode(*path)
		if err != nil {
			return err
		}
		return run(command, *path, settings)
	}
	return command
}

func addSettingsFlag(command *cobra.Command) *string {
	path := command.Flags().String("settings", "", "file with the settings, JSON with comments (required)")
	_ = command.MarkFlagFilename("settings") // fails only if the flag does not exist
	return path
}

// rejectArgs is the cobra.PositionalArgs of commands without arguments.
func rejectArgs(command *cobra.Command, args []string) error {
	if len(args) == 0 {
		return nil
	}
	return qherr.New(qherr.BadInput, nil, "see "+command.CommandPath()+" --help", "%s does not accept the command or argument %q", command.CommandPath(), args[0])
}
