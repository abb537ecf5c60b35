// Command qhctl is the operators' command line: plan, confirm, status, history,
// explain, dump and check.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"os/user"
	"syscall"

	"quetzalhaven.dev/qhctl/qhcommand"
	"quetzalhaven.dev/qherr"
)

// version is set by the build.
var version = "unknown" //nolint:gochecknoglobals // the linker sets it

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err := qhcommand.New(qhcommand.Options{Build: version, Getenv: os.Getenv, User: userName}).ExecuteContext(ctx)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "qhctl:", err)
	}
	os.Exit(int(qherr.StatusOf(err)))
}

// userName returns the user of the system, by number where it has no name.
func userName() string {
	known, err := user.Current()
	if err != nil {
		return fmt.Sprintf("uid %d", os.Getuid())
	}
	return known.Username
}
