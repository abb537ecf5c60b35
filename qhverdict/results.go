package main

import (
	"errors"
	"fmt"
	"io"
	"regexp"
	"slices"
	"strings"
)

// detectorEnds matches what the race detector writes when a check of its own fails, and what
// the Go runtime writes when the detector reads from address 0. If Go code does that, the
// output has a panic in its place.
var detectorEnds = regexp.MustCompile(`ThreadSanitizer: CHECK failed|(?m)^SIGSEGV: segmentation violation\nPC=0x[0-9a-f]+ m=\d+ sigcode=\d+ addr=0x0\n`) //nolint:gochecknoglobals // a constant

// TestEvent is one line of the output of go test -json. The field names are the
// JSON keys.
type TestEvent struct {
	Action     string
	Package    string
	ImportPath string
	Test       string
	Output     string
	// Elapsed is the duration in seconds.
	Elapsed float64
}

// Results collects the results of a run of go test.
type Results struct {
	// output has the output lines of each package that has not passed.
	output map[string][]string
	// failed has the failed tests of each failed package. Data races and
	// failures without a failed test, such as of the build, have an entry too.
	failed map[string][]string
	// RunsTwice is the package whose tests run without the race detector too, so that an
	// end of the detector's own does not count; empty for none.
	RunsTwice string
	// detectorEnded counts such ends.
	detectorEnded int
	// Passed and Failed count the Go tests of all packages by result. A Ginkgo
	// suite counts as one test.
	Passed, Failed int
}

// NewResults returns empty results.
func NewResults() *Results {
	return &Results{output: make(map[string][]string), failed: make(map[string][]string)}
}

// Add adds one event and returns the text to print for it, or "".
func (r *Results) Add(event TestEvent) string {
	switch {
	case event.Action == "build-output":
		return strings.TrimRight(event.Output, "\n")
	case event.Action == "output":
		r.output[event.Package] = append(r.output[event.Package], event.Output)
	case event.Test == "" && event.Action == "fail":
		return r.addFailedPackage(event.Package)
	case event.Test == "" && event.Action == "pass":
		delete(r.output, event.Package)
		return fmt.Sprintf("ok   %s (%.0f s)", event.Package, event.Elapsed)
	case event.Test != "" && event.Action == "pass":
		r.Passed++
	case event.Test != "" && event.Action == "fail":
		r.Failed++
		r.failed[event.Package] = append(r.failed[event.Package], event.Test)
	}
	return ""
}

// addFailedPackage records the failed tests of a package and returns its output.
// Ginkgo specs in the output replace the Go test that runs the suite.
func (r *Results) addFailedPackage(pkg string) string {
	text := strings.Join(r.output[pkg], "")
	if specs := failedSpecs(text); len(specs) > 0 {
		r.failed[pkg] = specs
	}
	if strings.Contains(text, "WARNING: DATA RACE") {
		r.failed[pkg] = append(r.failed[pkg], "data race in "+pkg)
	}
	if len(r.failed[pkg]) == 0 && pkg == r.RunsTwice && detectorEnds.MatchString(text) {
		r.detectorEnded++
		delete(r.output, pkg)
		return "the race detector ended the tests of " + pkg + " by a fault of its own; they run without it too"
	}
	if len(r.failed[pkg]) == 0 {
		r.failed[pkg] = []string{"build or start of " + pkg}
	}
	return text + "FAIL " + pkg
}

// Verdict prints the counts and the failed tests. It returns an error if one of
// them is not in known, if go test failed without a failed test (runErr), or if
// no test passed.
func (r *Results) Verdict(known []KnownFailure, runErr error, out io.Writer) error {
	var unexpected []string
	for pkg, tests := range r.failed {
		for _, test := range tests {
			index := slices.IndexFunc(known, func(e KnownFailure) bool { return e.Test == test })
			if index < 0 {
				unexpected = append(unexpected, pkg+": "+test)
				continue
			}
			fmt.Fprintf(out, "known failure: %s (issue %s): %s\n", test, known[index].Issue, known[index].Observed)
		}
	}
	slices.Sort(unexpected)
	for _, line := range unexpected {
		fmt.Fprintln(out, "failed:", line)
	}
	fmt.Fprintf(out, "%d passed, %d failed\n", r.Passed, r.Failed)
	if len(unexpected) > 0 {
		return fmt.Errorf("%d failed tests are not listed in %s; fix them", len(unexpected), knownFailuresFile)
	}
	if runErr != nil && len(r.failed) == 0 && r.detectorEnded == 0 {
		return fmt.Errorf("go test failed: %w", runErr)
	}
	if r.Passed == 0 {
		return errors.New("no test passed; check the package arguments")
	}
	return nil
}

// failedSpecs returns the full texts of the failed Ginkgo specs in the output of
// a package, without duplicates. A failed setup node that has no text of its own
// is named by its type, such as [BeforeSuite].
func failedSpecs(text string) []string {
	failLine := regexp.MustCompile(`(?m)^\s*(?:\x1b\[[0-9;]*m)*\[(?:FAIL|PANICKED!|TIMEDOUT|INTERRUPTED)\](?:\x1b\[[0-9;]*m)* (.*)$`)
	ansiColor := regexp.MustCompile(`\x1b\[[0-9;]*m`)
	nodeType := regexp.MustCompile(`\s*\[(It|BeforeEach|AfterEach|JustBeforeEach|BeforeSuite|AfterSuite|SynchronizedBeforeSuite|SynchronizedAfterSuite|DeferCleanup)[^\]]*\]\s*`)
	var specs []string
	for _, match := range failLine.FindAllStringSubmatch(text, -1) {
		spec := ansiColor.ReplaceAllString(match[1], "")
		if name := strings.TrimSpace(nodeType.ReplaceAllString(spec, " ")); name != "" {
			spec = name
		}
		if !slices.Contains(specs, spec) {
			specs = append(specs, spec)
		}
	}
	return specs
}
