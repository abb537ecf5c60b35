package qhcrash

import (
	"context"
	"errors"
	"fmt"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"quetzalhaven.dev/qherr"
	"quetzalhaven.dev/qhgroup"
	"quetzalhaven.dev/qhid"
)

// answerOf is what a node answers to an inquiry.
type answerOf func(ctx context.Context) (Message, error)

func informed(findings ...Finding) answerOf {
	return func(context.Context) (Message, error) { return Message{Informed: true, Findings: findings}, nil }
}

func justStarted(context.Context) (Message, error) { return Message{}, nil }

func notRunning(context.Context) (Message, error) {
	return Message{}, qherr.New(qherr.Unavailable, fmt.Errorf("dial: %w", syscall.ECONNREFUSED), "wait", "node does not respond")
}

func silent(ctx context.Context) (Message, error) {
	<-ctx.Done()
	return Message{}, ctx.Err()
}

// quarantinedRequest is quarantined on all informed nodes.
const quarantinedRequest = Fingerprint("crashes")

func quarantineFinding() Finding {
	finding := Finding{Request: quarantinedRequest, Service: testService}
	for target := range maxEnds {
		finding.Ends = append(finding.Ends, End{Target: qhid.Target(fmt.Sprint(target)), Age: time.Second})
	}
	return finding
}

func TestStartedNodeWaitsOnlyForNodesThatMayKnowOfQuarantines(t *testing.T) {
	for name, c := range map[string]struct {
		peers       []answerOf
		knownIn     time.Duration // until the peers are known
		wait        time.Duration
		quarantined bool
	}{
		"no other node":                   {wait: 0},
		"one informed node":               {peers: []answerOf{informed(quarantineFinding())}, quarantined: true},
		"one informed among silent ones":  {peers: []answerOf{silent, silent, informed(quarantineFinding())}, quarantined: true},
		"one informed among started ones": {peers: []answerOf{justStarted, notRunning, informed(quarantineFinding())}, quarantined: true},
		"all just started or not running": {peers: []answerOf{justStarted, notRunning, justStarted}},
		"all silent":                      {peers: []answerOf{silent, silent}, wait: inquiryTimeout},
		"started and silent ones":         {peers: []answerOf{justStarted, silent}, wait: inquiryTimeout},
		"nodes known late":                {peers: []answerOf{informed(quarantineFinding())}, knownIn: time.Second, wait: time.Second, quarantined: true},
		"nodes never known":               {knownIn: time.Hour, wait: maxPeersWait},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				RegisterTestingT(t)
				local, stop := newTestLocal(c.peers, c.knownIn)
				defer stop()
				start := time.Now()
				local.AwaitInformed(t.Context(), testService)
				Expect(time.Since(start)).To(Equal(c.wait))
				Expect(local.Check(quarantinedRequest).Quarantined).To(Equal(c.quarantined))
				Expect(local.Answer(Message{Service: testService}).Informed).To(Equal(c.wait == 0 || c.quarantined))
			})
		})
	}
}

func TestWaitForQuarantinesEndsWithTheCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		RegisterTestingT(t)
		local, stop := newTestLocal([]answerOf{silent}, 0)
		defer stop()
		ctx, cancel := context.WithTimeout(t.Context(), inquiryTimeout/2)
		defer cancel()
		local.AwaitInformed(ctx, testService)
		Expect(errors.Is(ctx.Err(), context.DeadlineExceeded)).To(BeTrue())
	})
}

func TestMessagesAboutUnknownServicesStartNoInquiry(t *testing.T) {
	RegisterTestingT(t)
	local, stop := newTestLocal([]answerOf{silent}, 0)
	defer stop()
	for service := range 100 {
		Expect(local.Answer(Message{Service: qhid.Service(fmt.Sprint(service))}).Informed).To(BeFalse())
	}
	Expect(local.inquiries).To(BeEmpty())
}

// newTestLocal returns a Local whose peers are known after a time.
func newTestLocal(answers []answerOf, knownIn time.Duration) (*Local, func()) {
	group, stop := qhgroup.New(context.Background())
	known := make(chan struct{})
	if knownIn == 0 {
		close(known)
	} else {
		group.Go(func(ctx context.Context) {
			if qhgroup.Sleep(ctx, knownIn) {
				close(known)
			}
		})
	}
	return New(Options{
		Quarantine: testQuarantine,
		Services:   func() []qhid.Service { return []qhid.Service{testService} },
		Peers: func(qhid.Service) []qhid.Node {
			peers := make([]qhid.Node, len(answers))
			for i := range peers {
				peers[i] = qhid.Node(fmt.Sprint(i))
			}
			return peers
		},
		PeersKnown: func() <-chan struct{} { return known },
		Send: func(ctx context.Context, to qhid.Node, _ Message) (Message, error) {
			var index int
			if _, err := fmt.Sscan(string(to), &index); err != nil {
				return Message{}, err
			}
			return answers[index](ctx)
		},
		Now: time.Now, Group: group, Log: zap.NewNop(), Metrics: metrics.NewSet(),
	}), stop
}
