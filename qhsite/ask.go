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

// maxAnswer bounds the answers that the site reads.
const maxAnswer qhid.Bytes = 64 << 20

// Result is what a command printed and its exit status.
type Result struct {
	Out, Err string
	Status   qherr.ExitStatus
}

// Ctl runs qhctl. An exit status above 0 is no error.
func (s *Site) Ctl(ctx context.Context, args ...string) (Result, error) {
	return run(ctx, s.Programs.Ctl, s.CtlArgs(args...)...)
}

// CtlArgs returns the arguments of qhctl for this site: args and where its
// platform and a node are.
func (s *Site) CtlArgs(args ...string) []string {
	return append(args, "--platform", s.Platform, "--node", string(s.Nodes[0].Settings.Listen.Operators))
}

// run runs a program until it ends. An exit status above 0 is no error.
func run(ctx context.Context, program string, args ...string) (Result, error) {
	var out, errs strings.Builder
	cmd := exec.CommandContext(ctx, program, args...)
	cmd.Stdout, cmd.Stderr = &out, &errs
	cmd.SysProcAttr = attributes()
	err := cmd.Run()
	if ctx.Err() != nil {
		return Result{}, ctx.Err()
	}
	result := Result{Out: out.String(), Err: errs.String()}
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		result.Status, err = qherr.ExitStatus(exit.ExitCode()), nil
	}
	return result, err
}

// Answer is the answer to a call.
type Answer struct {
	Status int
	Header http.Header
	Body   string
}

// Call sends a call to the callers' listener of the node and reads the whole
// answer. The error tells of an answer that broke off or did not come.
func (n *Node) Call(ctx context.Context, method, path string, header http.Header, body string) (Answer, error) {
	return n.site.send(ctx, method, "http://"+string(n.Settings.Listen.Callers)+path, header, body)
}

func (s *Site) send(ctx context.Context, method, url string, header http.Header, body string) (Answer, error) {
	request, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return Answer{}, err
	}
	for name, values := range header {
		request.Header[name] = values
	}
	response, err := s.client.Do(request)
	if err != nil {
		return Answer{}, err
	}
	text, err := io.ReadAll(io.LimitReader(response.Body, int64(maxAnswer)))
	err = errors.Join(err, response.Body.Close())
	return Answer{Status: response.StatusCode, Header: response.Header, Body: string(text)}, err
}

// get returns the body of an answer of status 200.
func (s *Site) get(ctx context.Context, url string) ([]byte, error) {
	answer, err := s.send(ctx, http.MethodGet, url, nil, "")
	if err == nil && answer.Status != http.StatusOK {
		err = fmt.Errorf("%s answered %d: %s", url, answer.Status, bytes.TrimSpace([]byte(answer.Body)))
	}
	return []byte(answer.Body), err
}
