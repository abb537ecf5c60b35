// Command qhverdict runs go test with the race detector on the packages given as arguments. It exits with status 1 if a test fails that is not listed in
// KNOWN-RED.txt, and prints the listed tests that failed.
package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"os/signal"
	"runtime"
	"slices"
	"strings"
)

// knownFailuresFile is the file in the current folder that lists the tests that
// may fail. It may be absent.
const knownFailuresFile = "KNOWN-RED.txt"

// maxLineBytes bounds one line of the output of go test -json.
const maxLineBytes = 16 << 20

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if err := run(ctx, os.Args[1:], os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "qhverdict:", err)
		os.Exit(1)
	}
}

// run tests the packages and returns an error if a test fails that is not a
// known failure.
func run(ctx context.Context, packages []string, out io.Writer) error {
	text, err := os.ReadFile(knownFailuresFile)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return fmt.Errorf("read %s: %w", knownFailuresFile, err)
	}
	known, err := ParseKnownFailures(string(text))
	if err != nil {
		return err
	}
	listed, err := listPackages(ctx, packages)
	if err != nil {
		return err
	}
	groups, twice := testGroups(runtime.GOARCH, listed)
	results := NewResults()
	results.RunsTwice = twice
	var runErr error
	for _, group := range groups {
		err := runTests(ctx, group, results, out)
		var exit *exec.ExitError
		if err != nil && !errors.As(err, &exit) {
			return err
		}
		runErr = errors.Join(runErr, err)
	}
	return results.Verdict(known, runErr, out)
}

// runTests runs go test and adds its events to the results. The error is an *exec.ExitError if
// tests fail.
func runTests(ctx context.Context, group []string, results *Results, out io.Writer) error {
	command := exec.CommandContext(ctx, "go", append([]string{"test", "-json", "-timeout", "20m"}, group...)...)
	command.Stderr = os.Stderr
	pipe, err := command.StdoutPipe()
	if err != nil {
		return fmt.Errorf("open the output of go test: %w", err)
	}
	if err := command.Start(); err != nil {
		return fmt.Errorf("start go test: %w", err)
	}
	readErr := readTestEvents(pipe, results, out)
	runErr := command.Wait()
	if readErr != nil {
		return readErr
	}
	return runErr
}

// raceDetectorFails is the package whose test process the race detector of arm64 ends at times
// by a fault of its own, without a data race.
const raceDetectorFails = "quetzalhaven.dev/qhfeed"

// measuresProcesses is the package whose tests measure the memory of other processes. It runs
// apart from the others, so that they get the processor time to answer.
const measuresProcesses = "quetzalhaven.dev/qhcrowd"

// testGroups returns the arguments of each run of go test that the packages need on an
// architecture. Where the race detector may end the test process of a package, its tests run
// without it too, and twice is that package.
func testGroups(architecture string, packages []string) (groups [][]string, twice string) {
	shared := slices.DeleteFunc(slices.Clone(packages), func(name string) bool { return name == measuresProcesses })
	if len(shared) > 0 {
		groups = append(groups, append([]string{"-race"}, shared...))
	}
	if len(shared) < len(packages) {
		groups = append(groups, []string{"-race", measuresProcesses})
	}
	if architecture == "arm64" && slices.Contains(packages, raceDetectorFails) {
		return append(groups, []string{raceDetectorFails}), raceDetectorFails
	}
	return groups, ""
}

// listPackages returns the import paths of the packages that match the patterns.
func listPackages(ctx context.Context, patterns []string) ([]string, error) {
	command := exec.CommandContext(ctx, "go", append([]string{"list"}, patterns...)...)
	command.Stderr = os.Stderr
	output, err := command.Output()
	if err != nil {
		return nil, fmt.Errorf("list the packages: %w", err)
	}
	return strings.Fields(string(output)), nil
}

// readTestEvents adds the events of go test to the results and prints the result
// of each package as it arrives. Lines that are not JSON are printed unchanged.
func readTestEvents(pipe io.Reader, results *Results, out io.Writer) error {
	lines := bufio.NewScanner(pipe)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		var event TestEvent
		if err := json.Unmarshal(bytes.TrimSpace(lines.Bytes()), &event); err != nil {
			fmt.Fprintln(out, lines.Text())
			continue
		}
		if line := results.Add(event); line != "" {
			fmt.Fprintln(out, line)
		}
	}
	if err := lines.Err(); err != nil {
		return fmt.Errorf("read the output of go test: %w", err)
	}
	return nil
}
