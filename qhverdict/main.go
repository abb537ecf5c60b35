// Command qhverdict runs the tests of the packages it is given and decides:
// only tests listed in KNOWN-RED.txt may fail, and they are printed.
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
)

// knownRed is the list of tests that may fail, in the current folder.
const knownRed = "KNOWN-RED.txt"

// maxLine bounds one line of the test runner's output.
const maxLine = 16 << 20

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if err := run(ctx, os.Args[1:], os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "qhverdict:", err)
		os.Exit(1)
	}
}

// run tests the packages and returns an error where a test fails that is not
// known to be red.
func run(ctx context.Context, packages []string, out io.Writer) error {
	text, err := os.ReadFile(knownRed)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return fmt.Errorf("read %s: %w", knownRed, err)
	}
	red, err := ParseRed(string(text))
	if err != nil {
		return err
	}
	args := append([]string{"test", "-race", "-json", "-timeout", "20m"}, packages...)
	command := exec.CommandContext(ctx, "go", args...)
	command.Stderr = os.Stderr
	pipe, err := command.StdoutPipe()
	if err != nil {
		return fmt.Errorf("open the test runner's output: %w", err)
	}
	if err := command.Start(); err != nil {
		return fmt.Errorf("start the test runner: %w", err)
	}
	report := NewResults()
	readErr := readEvents(pipe, report, out)
	runErr := command.Wait()
	if readErr != nil {
		return readErr
	}
	return report.Verdict(red, runErr, out)
}

// readEvents feeds the report and prints each package's result as it comes.
func readEvents(pipe io.Reader, report *Results, out io.Writer) error {
	lines := bufio.NewScanner(pipe)
	lines.Buffer(nil, maxLine)
	for lines.Scan() {
		var event Event
		if err := json.Unmarshal(bytes.TrimSpace(lines.Bytes()), &event); err != nil {
			fmt.Fprintln(out, lines.Text())
			continue
		}
		if line := report.Add(event); line != "" {
			fmt.Fprintln(out, line)
		}
	}
	if err := lines.Err(); err != nil {
		return fmt.Errorf("read the test runner's output: %w", err)
	}
	return nil
}
