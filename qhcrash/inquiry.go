package qhcrash

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"syscall"
	"time"

	"go.uber.org/zap"

	"quetzalhaven.dev/qhgroup"
	"quetzalhaven.dev/qhid"
)

const (
	// maxPeersWait bounds the wait until the other nodes are known.
	maxPeersWait = 2 * time.Second
	// inquiryTimeout bounds an inquiry once they are known.
	inquiryTimeout = 500 * time.Millisecond
	// inquiryInterval is the time between two rounds of questions.
	inquiryInterval = 50 * time.Millisecond
	// maxAsked bounds the nodes that are asked in a round.
	maxAsked = 8
)

// inquiry asks the other nodes of a service, after the start of this node, which requests
// are quarantined. Calls to targets of the service wait for its end.
type inquiry struct {
	// done is closed at the end of the inquiry.
	done chan struct{}
	// informed is set once this node knows what the others know.
	informed atomic.Bool
}

func (i *inquiry) isInformed() bool { return i.informed.Load() }

func (i *inquiry) isDone() bool {
	select {
	case <-i.done:
		return true
	default:
		return false
	}
}

// AwaitInformed waits until this node has asked the other nodes of the service which
// requests are quarantined, for a bounded time after its start, or until ctx is done.
func (l *Local) AwaitInformed(ctx context.Context, service qhid.Service) {
	if l == nil {
		return
	}
	select {
	case <-l.inquiryOf(service).done:
	case <-ctx.Done():
	}
}

// inquiryOf returns the inquiry of a service. The first call starts it.
func (l *Local) inquiryOf(service qhid.Service) *inquiry {
	l.mu.Lock()
	defer l.mu.Unlock()
	i := l.inquiries[service]
	if i == nil {
		i = &inquiry{done: make(chan struct{})}
		l.inquiries[service] = i
		l.Group.Go(func(ctx context.Context) { l.inquire(ctx, service, i) })
	}
	return i
}

// isInformed reports whether this node knows what the other nodes of the service know. It
// starts no inquiry, since other nodes may ask about any service.
func (l *Local) isInformed(service qhid.Service) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	i := l.inquiries[service]
	return i != nil && i.isInformed()
}

// inquire asks the other nodes until one of them is informed, all are known to know
// nothing, or the time is up.
func (l *Local) inquire(ctx context.Context, service qhid.Service, i *inquiry) {
	defer close(i.done)
	select {
	case <-l.PeersKnown():
	case <-time.After(maxPeersWait):
		l.warnUninformed(service)
		return
	case <-ctx.Done():
		return
	}
	start := time.Now()
	bounded, cancel := context.WithTimeout(ctx, inquiryTimeout)
	defer cancel()
	for ctx.Err() == nil {
		if l.askAll(bounded, service) {
			i.informed.Store(true)
			l.Log.Info("quarantined requests received from other nodes", zap.String("service", string(service)), zap.Duration("took", time.Since(start)))
			return
		}
		if !qhgroup.Sleep(bounded, inquiryInterval) && ctx.Err() == nil {
			l.warnUninformed(service)
			return
		}
	}
}

func (l *Local) warnUninformed(service qhid.Service) {
	l.Log.Warn("calls are sent to targets although no other node told which requests are quarantined", zap.String("service", string(service)))
}

// askAll asks the other nodes of the service at once. It returns true as soon as one of
// them is informed, or if all are known to know nothing.
func (l *Local) askAll(ctx context.Context, service qhid.Service) bool {
	peers := l.Peers(service)
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	complete := len(peers) <= maxAsked
	peers = peers[:min(len(peers), maxAsked)]
	answers := make(chan peerAnswer, len(peers))
	for _, peer := range peers {
		l.Group.Go(func(context.Context) { answers <- l.ask(ctx, peer, service) })
	}
	for range peers {
		select {
		case answer := <-answers:
			if answer == peerInformed {
				return true
			}
			complete = complete && answer == peerUninformed
		case <-ctx.Done():
			return false
		}
	}
	return complete
}

// peerAnswer is what the answer of another node tells of its knowledge.
type peerAnswer int

const (
	// peerUnknown is set if the node did not respond. It may know of quarantined
	// requests.
	peerUnknown peerAnswer = iota
	// peerInformed is set if the response has all that is known.
	peerInformed
	// peerUninformed is set if the node knows no more than its response has, because its
	// process has just started or does not run.
	peerUninformed
)

func (l *Local) ask(ctx context.Context, peer qhid.Node, service qhid.Service) peerAnswer {
	response, err := l.exchange(ctx, peer, Message{Service: service})
	switch {
	case err == nil && response.Informed:
		return peerInformed
	case err == nil || errors.Is(err, syscall.ECONNREFUSED):
		return peerUninformed
	}
	l.Log.Info("cannot ask another node for quarantined requests", zap.String("member", string(peer)), zap.Error(err))
	return peerUnknown
}
