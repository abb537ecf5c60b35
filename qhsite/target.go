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

// Target is a target of the site. Its process is replaced by each Start.
type Target struct {
	*Process
	ID      qhid.Target
	Service Service
	// Node is the node on the target's VM.
	Node *Node
	// Address is where the target takes calls. It stays over a restart.
	Address qhid.Address
	site    *Site
}

// Record is what a target did since it started.
type Record struct {
	// Ran counts calls that began to run.
	Ran int `json:"ran"`
	// Running is how many calls run now.
	Running int `json:"running"`
	// Cancelled counts calls whose caller went away while they ran.
	Cancelled int `json:"cancelled"`
	// Requests and Keys count runs by request id and by idempotency key.
	Requests map[qhid.Request]int `json:"requests"`
	Keys     map[string]int       `json:"keys"`
}

// TargetFaults are the switches of a target. The zero value has none on.
type TargetFaults struct {
	// Next is how many calls the faults bite; 0 for all.
	Next int `json:"next,omitempty"`
	// Time is how long a call runs where it is not 0.
	Time qhconfig.Duration `json:"time,omitempty"`
	// Hang runs the call and never answers.
	Hang bool `json:"hang,omitempty"`
}

// Start starts the target's process. A process before has to have ended.
func (t *Target) Start() error {
	args := append([]string{
		"target",
		"--listen", string(t.Address),
		"--id", string(t.ID),
		"--service", string(t.Service.Name),
		"--zone", string(t.Node.Settings.Zone),
		"--node", "http://" + string(t.Node.Settings.Listen.Targets),
		"--slots", strconv.Itoa(t.Service.Slots),
		"--connections", strconv.Itoa(t.Service.Connections),
	}, t.site.Target...)
	process, err := start(t.site.group, t.site.Dir, string(t.ID), t.site.Programs.Stand, args...)
	if err == nil {
		t.Process = process
	}
	return err
}

// Record returns what the target did.
func (t *Target) Record(ctx context.Context) (Record, error) {
	var record Record
	text, err := t.site.get(ctx, t.url("record"))
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
	return t.site.put(ctx, t.url("faults"), string(text))
}

// Drain makes the target announce that it leaves.
func (t *Target) Drain(ctx context.Context) error { return t.site.put(ctx, t.url("drain"), "") }

func (t *Target) url(name string) string {
	return fmt.Sprintf("http://%s/qhstand/%s", t.Address, name)
}

// put sends text and expects that it is taken.
func (s *Site) put(ctx context.Context, url, text string) error {
	answer, err := s.send(ctx, http.MethodPut, url, nil, text)
	if err == nil && answer.Status >= http.StatusBadRequest {
		err = fmt.Errorf("%s answered %d: %s", url, answer.Status, answer.Body)
	}
	return err
}
