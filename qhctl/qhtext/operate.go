package qhtext

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"quetzalhaven.dev/qhcrash"
	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhoperate"
)

// Rollouts writes a table of roll-outs, and below it why each is in its phase.
func (w *Writer) Rollouts(rollouts []qhoperate.RolloutView) {
	if len(rollouts) == 0 {
		w.Line("the node knows no roll-outs")
		return
	}
	rows := make([][]string, len(rollouts))
	for i, r := range rollouts {
		phase := r.Phase
		if phase == "" {
			phase = "ordered"
		}
		rows[i] = []string{string(r.Service), string(r.Software), phase, fmt.Sprintf("%s of %s", r.Elapsed.Round(time.Second), r.Duration), strconv.Itoa(r.Exposed),
			fmt.Sprintf("%d of %d", r.Failures, r.Answers), fmt.Sprintf("%d of %d", r.OldFailures, r.OldAnswers)}
	}
	w.Table([]string{"service", "software", "phase", "time", "exposed", "failed", "before"}, rows)
	for _, r := range rollouts {
		if r.Reason != "" {
			w.Field(string(r.Service), r.Reason)
		}
	}
}

// Tenants writes a table of tenants, and above it whether the node may use keys.
func (w *Writer) Tenants(view qhoperate.TenantsView) {
	switch {
	case view.ProofAge < 0 && view.KeysUsable:
		w.Field("keys", "usable, no proof is needed or known")
	case view.KeysUsable:
		w.Field("keys", fmt.Sprintf("usable, the configuration was the newest %s ago", view.ProofAge.Round(time.Millisecond)))
	case view.ProofAge < 0:
		w.Field("keys", "not usable: the node has no proof yet that its configuration is the newest")
	default:
		w.Field("keys", fmt.Sprintf("not usable: the configuration was last known to be the newest %s ago", view.ProofAge.Round(time.Millisecond)))
	}
	rows := make([][]string, len(view.Tenants))
	for i, tenant := range view.Tenants {
		allowance := "no limit"
		if tenant.Rate > 0 {
			allowance = fmt.Sprintf("%g/s + %d", tenant.Rate, tenant.Burst)
		}
		rows[i] = []string{string(tenant.Tenant), strconv.Itoa(tenant.Priority), allowance, fmt.Sprintf("%.1f/s", tenant.Demand), strconv.FormatUint(tenant.Refused, 10), strings.Join(tenant.Keys, " ")}
	}
	w.Table([]string{"tenant", "priority", "allowance", "here", "refused", "keys"}, rows)
}

// Crashes writes a table of the requests under which targets ended.
func (w *Writer) Crashes(crashes []qhcrash.Verdict) {
	var rows [][]string
	for _, crash := range crashes {
		if len(crash.Targets) == 0 { // it has succeeded since
			continue
		}
		state := "may run"
		if crash.Quarantined {
			state = "quarantined for " + crash.Remaining.Round(time.Second).String()
		}
		rows = append(rows, []string{string(crash.Request), string(crash.Service), state, joinTargets(crash.Targets)})
	}
	if len(rows) == 0 {
		w.Line("no target is known to have ended under a request")
		return
	}
	w.Table([]string{"request", "service", "state", "ended targets"}, rows)
}

// Released writes that a request was released from quarantine.
func (w *Writer) Released(request qhcrash.Fingerprint) {
	w.Line("request %s may run again; a target that ends under it quarantines it after three ends, as before", request)
}

func joinTargets(targets []qhid.Target) string {
	names := make([]string, len(targets))
	for i, target := range targets {
		names[i] = string(target)
	}
	return strings.Join(names, " ")
}
