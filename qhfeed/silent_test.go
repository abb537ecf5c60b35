package qhfeed

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"quetzalhaven.dev/qhgroup"
	"quetzalhaven.dev/qhhold"
	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhmember"
	"quetzalhaven.dev/qhplatform"
)

// storeResponseTimeout is how much longer than it asked to wait a client waits for the
// response to a watch on a silent connection.
const storeResponseTimeout = 2 * time.Second

// silenceable is a network in memory, with a store, whose open connections can become
// silent: nothing arrives on them any more, while new ones work.
type silenceable struct {
	mu        sync.Mutex
	listeners map[string]*memoryListener
	// silence is cancelled when the connections that are open now become silent.
	silence context.Context //nolint:containedctx // it stands for a generation of connections
	cancel  context.CancelFunc
}

func newSilenceable() *silenceable {
	s := &silenceable{listeners: make(map[string]*memoryListener)}
	s.silence, s.cancel = context.WithCancel(context.Background())
	return s
}

func (s *silenceable) silenceConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cancel()
	s.silence, s.cancel = context.WithCancel(context.Background())
}

// silenced returns a context that ends when the connections that are open now become
// silent.
func (s *silenceable) silenced() context.Context {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.silence
}

// wrap returns the store as seen through connections that can become silent.
func (s *silenceable) wrap(store qhplatform.Store) qhplatform.Store {
	watch := store.WatchPrefix
	store.WatchPrefix = func(ctx context.Context, prefix qhplatform.Key, after qhplatform.Revision, wait time.Duration) (qhplatform.Changes, error) {
		silenced, timeout := s.silenced(), time.NewTimer(wait+storeResponseTimeout)
		defer timeout.Stop()
		watchCtx, cancel := context.WithCancel(ctx)
		defer cancel()
		defer context.AfterFunc(silenced, cancel)()
		changes, err := watch(watchCtx, prefix, after, wait)
		if silenced.Err() == nil {
			return changes, err
		}
		select {
		case <-ctx.Done():
		case <-timeout.C:
		}
		return qhplatform.Changes{}, errCutOff
	}
	return store
}

// memoryListener accepts the connections that dial opens.
type memoryListener struct {
	address  string
	accepted chan net.Conn
	closed   chan struct{}
}

func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.accepted:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *memoryListener) Close() error {
	close(l.closed)
	return nil
}

func (l *memoryListener) Addr() net.Addr { return &net.TCPAddr{} }

func (s *silenceable) listen(address string) *memoryListener {
	l := &memoryListener{address: address, accepted: make(chan net.Conn), closed: make(chan struct{})}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listeners[address] = l
	return l
}

func (s *silenceable) dial(ctx context.Context, _, address string) (net.Conn, error) {
	s.mu.Lock()
	listener, silenced := s.listeners[address], s.silence
	s.mu.Unlock()
	client, server := net.Pipe()
	select {
	case listener.accepted <- &silenceableConn{Conn: server, silenced: silenced}:
		return &silenceableConn{Conn: client, silenced: silenced}, nil
	case <-listener.closed:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// silenceableConn loses what is written to it once it is silent.
type silenceableConn struct {
	net.Conn
	silenced context.Context //nolint:containedctx // see silenceable
}

func (c *silenceableConn) Write(p []byte) (int, error) {
	if c.silenced.Err() != nil {
		return len(p), nil //nolint:nilerr // the sender does not notice
	}
	return c.Conn.Write(p)
}

// startSilenceable starts a node whose connections can become silent.
func startSilenceable(s *silenceable, id qhid.Node, limit time.Duration, store qhplatform.Store) *testNode {
	address := qhid.Address(id + ":1")
	n := &testNode{holder: qhhold.New(qhhold.Options{Node: id})}
	n.members = qhmember.NewTable(qhmember.Options{Self: qhmember.Entry{
		Node: id, Zone: "kigali-a", PeerAddress: address, CallAddress: address, Incarnation: 1, Sequence: 1, State: qhmember.Up,
	}})
	client := newPeerClient(s.dial)
	feed, stopFeed := New(Options{
		ConfigKey: configKey, DecodeConfig: decodeStoredConfig, Store: s.wrap(store), Holder: n.holder, Members: n.members,
		Seeds: func() []qhid.Address { return nil }, ConvergenceLimit: limit, PeerClient: client, Log: zap.NewNop(), Metrics: metrics.NewSet(),
	})
	server := &http.Server{Handler: feed.Handler(), ReadHeaderTimeout: time.Minute}
	listener := s.listen(string(address))
	group, stopServer := qhgroup.New(context.Background())
	group.Go(func(context.Context) { _ = server.Serve(listener) }) // ends with ErrServerClosed
	n.feed = feed
	n.stop = func() {
		stopFeed()
		client.CloseIdleConnections()
		_ = server.Close()
		stopServer()
	}
	return n
}

// TestConfigIsInForceInTimeAfterAllConnectionsBecameSilent silences all connections to
// the store and between nodes again and again, each time right before a change.
func TestConfigIsInForceInTimeAfterAllConnectionsBecameSilent(t *testing.T) {
	const (
		limit  = 2 * time.Second
		nodes  = minReaders + 3
		rounds = 60
	)
	synctest.Test(t, func(t *testing.T) {
		RegisterTestingT(t)
		ctx, random := context.Background(), rand.New(rand.NewPCG(35, 1))
		store := qhplatform.NewFake(qhplatform.FakeOptions{}).Store()
		revision, err := store.Create(ctx, configKey, encodeStoredConfig(1))
		Expect(err).NotTo(HaveOccurred())
		connections := newSilenceable()
		var zone testZone
		for i := range nodes {
			node := startSilenceable(connections, qhid.Node(fmt.Sprint("n", i)), limit, store)
			defer node.stop()
			node.announce(qhid.Target(fmt.Sprint("t", i)))
			zone.nodes = append(zone.nodes, node)
		}
		time.Sleep(10 * time.Second)
		for round := range rounds {
			version := qhid.Version(round + 2)
			connections.silenceConnections()
			time.Sleep(time.Duration(random.Int64N(int64(limit / 4))))
			revision, err = store.Update(ctx, configKey, encodeStoredConfig(version), revision)
			Expect(err).NotTo(HaveOccurred())
			time.Sleep(limit)
			Expect(zone.versions()).To(HaveEach(version), "%s after the change in round %d", limit, round)
			time.Sleep(time.Duration(random.Int64N(int64(2 * limit))))
		}
	})
}
