// Command stand-2 runs the scripts of the second review. It starts nodes with the command of
// the deploy file, and has its own stand-ins for the platform's store, servers and clients.
// It exits with 1 if a rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// maxRunTime bounds a case, which may take 120 s.
const maxRunTime = 115 * time.Second

const (
	held = iota
	broken
	notRun
)

func main() {
	cases := map[string]func(root, record string, trouble bool) int{
		"stale-config":        staleConfig,
		"forgotten-departure": forgottenDeparture,
		"restored-departure":  restoredDeparture,
		"forgotten-crashes":   forgottenCrashes,
		"crashing-upload":     crashingUpload,
		"crashing-split":      crashingSplit,
		"crashing-abandoned":  crashingAbandoned,
	}
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand-2 CASE ROOT RECORD")
		os.Exit(notRun)
	}
	result, ended := make(chan int, 1), make(chan os.Signal, 1)
	signal.Notify(ended, os.Interrupt, syscall.SIGTERM)
	go func() { result <- cases[os.Args[1]](os.Args[2], os.Args[3], os.Getenv("TROUBLE") != "0") }()
	select {
	case code := <-result:
		os.Exit(code)
	case <-ended:
	case <-time.After(maxRunTime):
	}
	fmt.Fprintln(os.Stderr, "the case did not end")
	stopNodes()
	os.Exit(notRun)
}
