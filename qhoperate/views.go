package qhoperate

import (
	"net/http"
	"time"

	"quetzalhaven.dev/qhid"
)

// RolloutView is a roll-out as a node knows it.
type RolloutView struct {
	Service  qhid.Service  `json:"service"`
	Software qhid.Software `json:"software"`
	// Phase is empty before a node has taken up the order.
	Phase string `json:"phase,omitempty"`
	// Elapsed and Duration are the used and the whole time of the order.
	Elapsed  time.Duration `json:"elapsed"`
	Duration time.Duration `json:"duration"`
	Exposed  int           `json:"exposed"`
	Decider  qhid.Node     `json:"decider,omitempty"`
	// Answers and Failures are those of the new version, OldAnswers and OldFailures
	// those that they were compared with.
	Answers     int `json:"answers"`
	Failures    int `json:"failures"`
	OldAnswers  int `json:"oldanswers"`
	OldFailures int `json:"oldfailures"`
	// Reason says why the roll-out is in its phase.
	Reason string `json:"reason,omitempty"`
}

// TenantsView has the tenants as a node knows them.
type TenantsView struct {
	// ProofAge is the age of the node's proof that its configuration is the newest;
	// negative if it has none.
	ProofAge time.Duration `json:"proofage"`
	// KeysUsable is set while the node may admit calls by key.
	KeysUsable bool         `json:"usable"`
	Tenants    []TenantView `json:"tenants"`
}

// TenantView is a tenant with its use on one node.
type TenantView struct {
	Tenant   qhid.Tenant `json:"tenant"`
	Priority int         `json:"priority"`
	// Rate and Burst are the allowance over all nodes; a rate of 0 is no limit.
	Rate  float64 `json:"rate"`
	Burst int     `json:"burst"`
	// Demand is the number of calls per second on this node, and Refused counts those
	// that were refused there for want of allowance.
	Demand  float64 `json:"demand"`
	Refused uint64  `json:"refused"`
	// Keys are fingerprints.
	Keys []string `json:"keys"`
}

func (a *API) rollouts(w http.ResponseWriter, _ *http.Request) { writeJSON(w, a.Rollouts()) }
func (a *API) tenants(w http.ResponseWriter, _ *http.Request)  { writeJSON(w, a.Tenants()) }
