package main

import (
	"errors"
	"fmt"
	"io"
	"regexp"
	"slices"
	"strings"
)

// Event is one line of "go test -json".
type Event struct {
	Action     string
	Package    string
	ImportPath string
	Test       string
	Output     string
	// Elapsed is in seconds.
	Elapsed float64
}

// Results collects what the test runner told.
type Results struct {
	// output has the lines of each package.
	output map[string][]string
	// failed has the failed tests of each package; a package without any
	// failed for another reason, such as its build.
	failed map[string][]string
	// Passed and Broken count packages' tests by result.
	Passed, Broken int
}

// NewResults returns empty results.
func NewResults() *Results {
	return &Results{output: make(map[string][]string), failed: make(map[string][]string)}
}

// Add takes one event and returns a line to print, or "".
func (r *Results) Add(event Event) string {
	switch {
	case event.Action == "build-output":
		return strings.TrimRight(event.Output, "\n")
	case event.Action == "output":
		r.output[event.Package] = append(r.output[event.Package], event.Output)
	case event.Test == "" && event.Action == "fail":
		return r.failPackage(event.Package)
	case event.Test == "" && event.Action == "pass":
		delete(r.output, event.Package)
		return fmt.Sprintf("ok   %s (%.0f s)", event.Package, event.Elapsed)
	case event.Test != "" && event.Action == "pass":
		r.Passed++
	case event.Test != "" && event.Action == "fail":
		r.Broken++
		r.failed[event.Package] = append(r.failed[event.Package], event.Test)
	}
	return ""
}

func (r *Results) failPackage(name string) string {
	text := strings.Join(r.output[name], "")
	if specs := failedSpecs(text); len(specs) > 0 {
		r.failed[name] = specs
	}
	if strings.Contains(text, "WARNING: DATA RACE") {
		r.failed[name] = append(r.failed[name], "data race in "+name)
	}
	if len(r.failed[name]) == 0 {
		r.failed[name] = []string{"build or start of " + name}
	}
	return text + "FAIL " + name
}

// Verdict prints the counts and the known red tests that failed, and returns an
// error where another one failed.
func (r *Results) Verdict(red []Red, runErr error, out io.Writer) error {
	var bad []string
	for name, tests := range r.failed {
		for _, test := range tests {
			entry := slices.IndexFunc(red, func(e Red) bool { return e.Test == test })
			if entry < 0 {
				bad = append(bad, name+": "+test)
				continue
			}
			fmt.Fprintf(out, "known red: %s (issue %s): %s\n", test, red[entry].Issue, red[entry].Seen)
		}
	}
	slices.Sort(bad)
	for _, line := range bad {
		fmt.Fprintln(out, "failed:", line)
	}
	fmt.Fprintf(out, "%d passed, %d failed\n", r.Passed, r.Broken)
	if len(bad) > 0 {
		return fmt.Errorf("%d tests failed that %s does not list; mend them", len(bad), knownRed)
	}
	if runErr != nil && len(r.failed) == 0 {
		return fmt.Errorf("the test runner failed: %w", runErr)
	}
	if r.Passed == 0 {
		return errors.New("no test ran; check the packages given")
	}
	return nil
}

// failedSpecs returns the full texts of the ginkgo specs that failed.
func failedSpecs(text string) []string {
	line := regexp.MustCompile(`(?m)^\s*(?:\x1b\[[0-9;]*m)*\[(?:FAIL|PANICKED!|TIMEDOUT|INTERRUPTED)\](?:\x1b\[[0-9;]*m)* (.*)$`)
	colour := regexp.MustCompile(`\x1b\[[0-9;]*m`)
	node := regexp.MustCompile(`\s*\[(It|BeforeEach|AfterEach|JustBeforeEach|BeforeSuite|AfterSuite|SynchronizedBeforeSuite|SynchronizedAfterSuite|DeferCleanup)[^\]]*\]\s*`)
	var specs []string
	for _, match := range line.FindAllStringSubmatch(text, -1) {
		spec := colour.ReplaceAllString(match[1], "")
		if name := strings.TrimSpace(node.ReplaceAllString(spec, " ")); name != "" {
			spec = name
		}
		if !slices.Contains(specs, spec) {
			specs = append(specs, spec)
		}
	}
	return specs
}
