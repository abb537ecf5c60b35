// Command qhctl is the command line for operators. It plans, confirms and explains
// configuration changes and shows the state of nodes.
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

// version is the build version, set by the linker.
var version = "unknown" //nolint:gochecknoglobals // set with -ldflags -X

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err := qhcommand.New(qhcommand.Options{Build: version, Getenv: os.Getenv, User: userName}).ExecuteContext(ctx)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "qhctl:", err)
	}
	os.Exit(int(qherr.StatusOf(err)))
}

// userName returns the name of the current user, or the user id if the lookup
// fails.
func userName() string {
	current, err := user.Current()
	if err != nil {
		return fmt.Sprintf("uid %d", os.Getuid())
	}
	return current.Username
}
