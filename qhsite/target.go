package qhsite

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"

	"quetzalhaven.dev/qhconfig"
	"quetzalhaven.dev/qhid"
)

// Target is a target of the site. Each Start replaces its Process.
type Target struct {
	*Process
	ID      qhid.Target
	Service Service
	// Node is the node on the same VM.
	Node *Node
	// Address is the address on which the target accepts calls. It stays the same
	// across restarts.
	Address qhid.Address
	site    *Site
}

// TargetRecord counts the calls of a target since it started.
type TargetRecord struct {
	// Executed counts the calls whose execution started.
	Executed int `json:"ran"`
	// Running is the number of calls in execution.
	Running int `json:"running"`
	// Cancelled counts the calls whose caller disconnected during execution.
	Cancelled int `json:"cancelled"`
	// ExecutionsByRequest and ExecutionsByKey count executions by request ID and by
	// idempotency key.
	ExecutionsByRequest map[qhid.Request]int `json:"requests"`
	ExecutionsByKey     map[string]int       `json:"keys"`
}

// TargetFaults are the faults that a target injects. The zero value injects none.
type TargetFaults struct {
	// RemainingCalls is the number of calls to which the faults apply; 0 applies
	// them until they are replaced.
	RemainingCalls int `json:"next,omitempty"`
	// ServiceTime replaces the service time of a call if it is not 0.
	ServiceTime qhconfig.Duration `json:"time,omitempty"`
	// RateLimit is named in each response as the calls per second that the target
	// takes; 0 names none.
	RateLimit qhid.CallsPerSecond `json:"limit,omitempty"`
	// SayLeaving says in each response that the target is leaving.
	SayLeaving bool `json:"leaving,omitempty"`
	// Hang executes the call without end and never responds.
	Hang bool `json:"hang,omitempty"`
	// PaddingBytes is added to the size of a response.
	PaddingBytes qhid.Bytes `json:"size,omitempty"`
}

// Start starts the target's process. The previous process must have exited.
func (t *Target) Start() error {
	args := append([]string{
		"target",
		"--listen", string(t.Address),
		"--id", string(t.ID),
		"--service", string(t.Service.Name),
		"--zone", string(t.Node.Settings.Zone),
		"--node", "http://" + string(t.Node.Settings.Listen.Targets),
		"--slots", strconv.Itoa(t.Service.Slots),
		"--connections", strconv.Itoa(t.Service.MaxConnections),
	}, t.site.TargetArgs...)
	process, err := startProcess(t.site.group, t.site.Dir, string(t.ID), t.site.Programs.Stand, args...)
	if err == nil {
		t.Process = process
	}
	return err
}

// Record returns the call counts of the target.
func (t *Target) Record(ctx context.Context) (TargetRecord, error) {
	var record TargetRecord
	text, err := t.site.get(ctx, t.controlURL("record"))
	if err == nil {
		err = json.Unmarshal(text, &record)
	}
	return record, err
}

// SetFaults replaces the faults of the target.
func (t *Target) SetFaults(ctx context.Context, faults TargetFaults) error {
	text, err := json.Marshal(faults)
	if err != nil {
		return err
	}
	return t.site.put(ctx, t.controlURL("faults"), string(text))
}

// Leave makes the target announce the state leaving to its node.
func (t *Target) Leave(ctx context.Context) error { return t.site.put(ctx, t.controlURL("drain"), "") }

// controlURL returns the URL of a control endpoint of qhstand.
func (t *Target) controlURL(name string) string {
	return fmt.Sprintf("http://%s/qhstand/%s", t.Address, name)
}

// put sends a PUT request with text as the body. A status of 400 or above is an
// error.
func (s *Site) put(ctx context.Context, url, text string) error {
	response, err := s.send(ctx, http.MethodPut, url, nil, text)
	if err == nil && response.Status >= http.StatusBadRequest {
		err = fmt.Errorf("PUT %s: unexpected status %d: %s", url, response.Status, response.Body)
	}
	return err
}
