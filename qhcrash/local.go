package qhcrash

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"quetzalhaven.dev/qhgroup"
	"quetzalhaven.dev/qhid"
)

const (
	// gatherTime is how long further lost connections of a target are gathered before
	// the target is probed, and probeInterval the time until it is probed again if it
	// still accepts connections: a process that ends closes them one by one.
	gatherTime    = 10 * time.Millisecond
	probeInterval = 100 * time.Millisecond
	probeTimeout  = 500 * time.Millisecond
	// maxProbes is the number of probes that a target has to answer to count as
	// running.
	maxProbes = 2
	// maxFindings is the number of findings in a message, which keeps it below the size
	// that nodes accept.
	maxFindings = 8
	// sendAttempts and sendInterval bound the attempts to tell a node of an end.
	sendAttempts = 4
	sendInterval = 300 * time.Millisecond
	// compareInterval is the time between two comparisons with another node of the
	// service, while targets have ended under requests.
	compareInterval = time.Second
)

// Target is a target of this VM.
type Target struct {
	ID      qhid.Target
	Service qhid.Service
	Address qhid.Address
}

// Message is sent between nodes with targets of a service. The response has all findings
// of the responder on that service.
type Message struct {
	Service  qhid.Service `json:"s"`
	Findings []Finding    `json:"r,omitempty"`
	// Informed is set if the sender has heard what other nodes know of the service, or
	// knows that they know nothing.
	Informed bool `json:"i,omitempty"`
}

// Options configures New. All fields are required.
type Options struct {
	// Quarantine is how long a request is refused after its last end.
	Quarantine time.Duration
	// Services returns the services that have targets on this VM.
	Services func() []qhid.Service
	// Peers returns the other nodes with targets of a service.
	Peers func(qhid.Service) []qhid.Node
	// PeersKnown returns a channel that is closed once Peers knows the nodes.
	PeersKnown func() <-chan struct{}
	// Send sends a message to another node and returns its response.
	Send    func(ctx context.Context, to qhid.Node, message Message) (Message, error)
	Now     func() time.Time
	Group   *qhgroup.Group
	Log     *zap.Logger
	Metrics *metrics.Set
}

// Local is what one node does about requests that crash targets. It is safe for
// concurrent use. A nil Local refuses nothing.
type Local struct {
	Options
	ledger   *Ledger
	ends     *metrics.Counter
	refusals *metrics.Counter

	mu sync.Mutex
	// lost has the requests whose connection was lost, by target, until the target
	// has been probed.
	lost map[qhid.Target][]Fingerprint
	// inquiries has the inquiry of each service that has a target on this VM.
	inquiries map[qhid.Service]*inquiry
}

// New returns a Local that compares its ledger with other nodes once Run runs.
func New(options Options) *Local {
	l := &Local{Options: options, ledger: NewLedger(options.Quarantine, options.Now), lost: make(map[qhid.Target][]Fingerprint), inquiries: make(map[qhid.Service]*inquiry)}
	l.ends = options.Metrics.NewCounter("qh_crash_ends_total")
	l.refusals = options.Metrics.NewCounter("qh_crash_refusals_total")
	options.Metrics.NewGauge("qh_crash_quarantined", func() float64 {
		return float64(len(l.Quarantined()))
	})
	return l
}

// Check returns the verdict on a request, and counts its refusal if it is quarantined.
func (l *Local) Check(request Fingerprint) Verdict {
	if l == nil || request == "" {
		return Verdict{}
	}
	verdict := l.ledger.Check(request)
	if verdict.Quarantined {
		l.refusals.Inc()
	}
	return verdict
}

// Quarantined returns the verdicts on the requests that are quarantined.
func (l *Local) Quarantined() []Verdict {
	if l == nil {
		return nil
	}
	return slices.DeleteFunc(l.ledger.Verdicts(), func(v Verdict) bool { return !v.Quarantined })
}

// Verdicts returns the verdicts on all requests under which targets ended.
func (l *Local) Verdicts() []Verdict {
	if l == nil {
		return []Verdict{}
	}
	return l.ledger.Verdicts()
}

// Succeeded records that a target executed the request and lives.
func (l *Local) Succeeded(request Fingerprint) {
	if l == nil || request == "" {
		return
	}
	if finding, ok := l.ledger.RecordSuccess(request); ok {
		l.Log.Info("request succeeded under which targets had ended", zap.String("fingerprint", string(request)), zap.String("service", string(finding.Service)))
		l.tellPeers(finding.Service, []Finding{finding})
	}
}

// ConnectionLost records that the connection on which a target executed a request was
// lost. If the target has ended, the end is counted on all nodes of the service.
func (l *Local) ConnectionLost(target Target, request Fingerprint) {
	if l == nil || request == "" {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	known, isProbing := l.lost[target.ID]
	if !slices.Contains(known, request) {
		l.lost[target.ID] = append(known, request)
	}
	if !isProbing {
		at := l.Now()
		l.Group.Go(func(ctx context.Context) { l.probe(ctx, target, at) })
	}
}

// probe finds out whether the target has ended, and if so counts the requests whose
// connections were lost.
func (l *Local) probe(ctx context.Context, target Target, at time.Time) {
	ended := false
	delay := gatherTime
	for probes := 0; probes < maxProbes && !ended && qhgroup.Sleep(ctx, delay); probes++ {
		ended = refusesConnections(ctx, target.Address)
		delay = probeInterval
	}
	l.mu.Lock()
	requests := l.lost[target.ID]
	delete(l.lost, target.ID)
	l.mu.Unlock()
	if !ended {
		l.Log.Info("connections lost, target not known to have ended", zap.String("target", string(target.ID)), zap.Int("requests", len(requests)))
		return
	}
	l.ends.Inc()
	findings, quarantined := l.ledger.RecordEnd(target.Service, target.ID, at, requests)
	l.Log.Warn("target ended", zap.String("target", string(target.ID)), zap.String("service", string(target.Service)), zap.Int("requests", len(requests)))
	l.logQuarantined(quarantined)
	l.tellPeers(target.Service, findings)
}

// refusesConnections reports whether nothing listens at the address. A VM that does not
// respond at all is not known to have ended its target.
func refusesConnections(ctx context.Context, address qhid.Address) bool {
	dialer := net.Dialer{Timeout: probeTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", string(address))
	if err == nil {
		_ = conn.Close() // nothing was sent
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

func (l *Local) logQuarantined(verdicts []Verdict) {
	for _, verdict := range verdicts {
		l.Log.Warn("request quarantined", zap.String("fingerprint", string(verdict.Request)), zap.String("service", string(verdict.Service)),
			zap.String("targets", fmt.Sprint(verdict.Targets)), zap.Duration("for", verdict.Remaining))
	}
}

// tellPeers sends findings to the other nodes of the service.
func (l *Local) tellPeers(service qhid.Service, findings []Finding) {
	for _, peer := range l.Peers(service) {
		for part := range slices.Chunk(findings, maxFindings) {
			l.Group.Go(func(ctx context.Context) { l.tell(ctx, peer, Message{Service: service, Findings: part}) })
		}
	}
}

// tell sends a message until the peer has responded. A peer that does not respond in
// time learns of the findings when it compares its ledger.
func (l *Local) tell(ctx context.Context, peer qhid.Node, message Message) {
	var err error
	for attempt := 0; attempt < sendAttempts; attempt++ {
		if attempt > 0 && !qhgroup.Sleep(ctx, sendInterval) {
			return
		}
		if _, err = l.exchange(ctx, peer, message); err == nil {
			return
		}
	}
	l.Log.Warn("cannot tell a node of the end of a target; it learns of it from another one", zap.String("member", string(peer)), zap.Error(err))
}

// exchange sends a message, merges the response and returns it.
func (l *Local) exchange(ctx context.Context, peer qhid.Node, message Message) (Message, error) {
	response, err := l.Send(ctx, peer, message)
	if err == nil {
		l.merge(response)
	}
	return response, err
}

func (l *Local) merge(message Message) {
	l.logQuarantined(l.ledger.Merge(message.Findings))
}

// Answer merges the message of another node and returns the response.
func (l *Local) Answer(message Message) Message {
	l.merge(message)
	informed := l.isInformed(message.Service) // before the findings, which may just arrive
	return Message{Service: message.Service, Findings: l.ledger.Findings(message.Service), Informed: informed}
}

// Run asks the other nodes of the own services what they know, and then compares the
// ledger with random ones until ctx ends: while this node is not informed, and while
// targets have ended under requests.
func (l *Local) Run(ctx context.Context) {
	for ; ctx.Err() == nil; qhgroup.Sleep(ctx, compareInterval/2+rand.N(compareInterval)) {
		for _, service := range l.Services() {
			inquiry := l.inquiryOf(service)
			if inquiry.isDone() && (!inquiry.isInformed() || len(l.ledger.Findings(service)) > 0) {
				l.compare(ctx, service, inquiry)
			}
		}
	}
}

// compare gets the findings of a random other node of the service, if there is one.
func (l *Local) compare(ctx context.Context, service qhid.Service, inquiry *inquiry) {
	peers := l.Peers(service)
	if len(peers) == 0 {
		return
	}
	peer := peers[rand.IntN(len(peers))]
	response, err := l.exchange(ctx, peer, Message{Service: service})
	if err != nil {
		l.Log.Info("cannot compare the ends of targets with another node", zap.String("member", string(peer)), zap.Error(err))
		return
	}
	if response.Informed {
		inquiry.informed.Store(true)
	}
}

// Release ends the quarantine of a request on all nodes of its service. It returns false
// if no target is known to have ended under it.
func (l *Local) Release(request Fingerprint) bool {
	if l == nil {
		return false
	}
	finding, ok := l.ledger.Release(request)
	if ok {
		l.Log.Info("request released from quarantine", zap.String("fingerprint", string(request)), zap.String("service", string(finding.Service)))
		l.tellPeers(finding.Service, []Finding{finding})
	}
	return ok
}
