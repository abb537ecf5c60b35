// Command stand plays one case of the review: it starts nodes as separate processes,
// beside stand-ins for the platform's store, the endpoints and the requesters, and
// judges what these have seen.
//
// Exit statuses: 0 the rule held, 1 it was broken, 2 the case could not run.
package main

import (
	"fmt"
	"os"
)

// cases are the cases by name.
var cases = map[string]func(*world) verdict{
	"shutdown":   shutdownCase,
	"revoke":     revokeCase,
	"check-in":   checkInCase,
	"late-beat":  lateBeatCase,
	"later-boot": laterBootCase,
	"path":       pathCase,
	"quota":      quotaCase,
	"keys":       keysCase,
	"pipeline":   pipelineCase,
	"expect":     expectCase,
}

// verdict is the result of a case.
type verdict struct {
	broken bool
	text   string
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE REPOSITORY RECORD")
		os.Exit(2)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Args[3]))
}

func run(name, repository, recordPath string) (status int) {
	w, err := newWorld(repository, recordPath, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "cannot run:", err)
		return 2
	}
	defer w.close()
	defer func() {
		if cause := recover(); cause != nil {
			w.record("CANNOT RUN: %v", cause)
			fmt.Println("cannot run:", cause)
			status = 2
		}
	}()
	result := cases[name](w)
	w.record("VERDICT broken=%v: %s", result.broken, result.text)
	fmt.Printf("trouble=%v broken=%v: %s\n", w.trouble, result.broken, result.text)
	if result.broken {
		return 1
	}
	return 0
}
