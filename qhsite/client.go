package qhsite

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os/exec"
	"strings"

	"quetzalhaven.dev/qherr"
	"quetzalhaven.dev/qhid"
)

// maxResponseSize is the maximum number of bytes read from a response body.
const maxResponseSize qhid.Bytes = 64 << 20

// CommandResult holds the standard output, standard error and exit status of a command.
type CommandResult struct {
	Stdout, Stderr string
	Status         qherr.ExitStatus
}

// Ctl runs qhctl against this site. A nonzero exit status is not an error.
func (s *Site) Ctl(ctx context.Context, args ...string) (CommandResult, error) {
	return runProgram(ctx, s.Programs.Ctl, s.CtlArgs(args...)...)
}

// CtlArgs returns args followed by the flags with which qhctl connects to the
// platform and to the first node of this site.
func (s *Site) CtlArgs(args ...string) []string {
	return append(args, "--platform", s.PlatformURL, "--node", string(s.Nodes[0].Settings.Listen.Operators))
}

// runProgram runs a program and waits until it exits. A nonzero exit status is
// not an error.
func runProgram(ctx context.Context, program string, args ...string) (CommandResult, error) {
	var stdout, stderr strings.Builder
	cmd := exec.CommandContext(ctx, program, args...)
	cmd.Stdout, cmd.Stderr = &stdout, &stderr
	cmd.SysProcAttr = sysProcAttr()
	err := cmd.Run()
	if ctx.Err() != nil {
		return CommandResult{}, ctx.Err()
	}
	result := CommandResult{Stdout: stdout.String(), Stderr: stderr.String()}
	var exitErr *exec.ExitError
	if errors.As(err, &exitErr) {
		result.Status, err = qherr.ExitStatus(exitErr.ExitCode()), nil
	}
	return result, err
}

// Response is the response to a call.
type Response struct {
	Status int
	Header http.Header
	Body   string
}

// Call sends a call to the callers' listener of the node and reads the whole
// response. It returns an error if the call failed without a response or the
// response was truncated.
func (n *Node) Call(ctx context.Context, method, path string, header http.Header, body string) (Response, error) {
	return n.site.send(ctx, method, "http://"+string(n.Settings.Listen.Callers)+path, header, body)
}

// send sends an HTTP request and reads up to maxResponseSize of the response body.
func (s *Site) send(ctx context.Context, method, url string, header http.Header, body string) (Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return Response{}, err
	}
	for name, values := range header {
		request.Header[name] = values
	}
	response, err := s.client.Do(request)
	if err != nil {
		return Response{}, err
	}
	text, err := io.ReadAll(io.LimitReader(response.Body, int64(maxResponseSize)))
	err = errors.Join(err, response.Body.Close())
	return Response{Status: response.StatusCode, Header: response.Header, Body: string(text)}, err
}

// get sends a GET request and returns the response body. Any status other than
// 200 is an error.
func (s *Site) get(ctx context.Context, url string) ([]byte, error) {
	response, err := s.send(ctx, http.MethodGet, url, nil, "")
	if err == nil && response.Status != http.StatusOK {
		err = fmt.Errorf("GET %s: unexpected status %d: %s", url, response.Status, bytes.TrimSpace([]byte(response.Body)))
	}
	return []byte(response.Body), err
}
