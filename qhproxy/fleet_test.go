package qhproxy

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"quetzalhaven.dev/qhconfig"
	"quetzalhaven.dev/qhdecision"
	"quetzalhaven.dev/qhforward"
	"quetzalhaven.dev/qhguard"
	"quetzalhaven.dev/qhheader"
	"quetzalhaven.dev/qhhold"
	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhmember"
	"quetzalhaven.dev/qhmemory"
	"quetzalhaven.dev/qhplatform"
	"quetzalhaven.dev/qhroute"
	"quetzalhaven.dev/qhsetting"
)

// node is a proxy with its HTTP servers.
type node struct {
	proxy          *Proxy
	guards         *qhguard.Set
	decisions      *qhdecision.Ring
	metrics        *metrics.Set
	callers        *httptest.Server
	forwardedCalls *httptest.Server
	zone           qhid.Zone
}

// fleet is a set of nodes that share one view and one snapshot.
type fleet struct {
	t        testing.TB
	settings qhsetting.Calls
	store    *qhplatform.Store
	snapshot atomic.Pointer[qhhold.Snapshot]
	view     atomic.Pointer[qhmember.View]
	nodes    map[qhid.Node]*node
	// linkSpeed is that of the nodes started next; 0 if unknown.
	linkSpeed qhid.MegabitsPerSecond
	// memory is the account of the nodes started next; nil for none.
	memory *qhmemory.Account
}

func newFleet(t testing.TB, routes ...qhconfig.Route) *fleet {
	f := &fleet{t: t, nodes: make(map[qhid.Node]*node), settings: qhsetting.Calls{
		Timeout: qhconfig.Duration(20 * time.Second), FirstByteTimeout: qhconfig.Duration(10 * time.Second),
		MaxHeaderBytes: 16 << 10, MaxBodyBytes: 64 << 20, ShutdownTimeout: qhconfig.Duration(10 * time.Second), RetryBudget: 20, MaxDecisions: 4096,
	}}
	f.setRoutes(routes)
	f.view.Store(&qhmember.View{Services: make(map[qhid.Service][]*qhmember.Endpoint)})
	return f
}

// setRoutes puts a configuration with the routes and their services in force.
func (f *fleet) setRoutes(routes []qhconfig.Route) {
	services := make(map[qhid.Service]*qhconfig.Service)
	for _, route := range routes {
		for _, share := range route.Shares {
			services[share.Service] = &qhconfig.Service{Name: share.Service}
		}
	}
	f.snapshot.Store(&qhhold.Snapshot{Version: 7, Services: services, Index: qhroute.NewIndex(routes)})
}

func (f *fleet) startNode(id qhid.Node, zone qhid.Zone) *node {
	guards, closeGuards := qhguard.NewSet()
	n := &node{guards: guards, decisions: qhdecision.NewRing(f.settings.MaxDecisions), metrics: metrics.NewSet(), zone: zone}
	proxy, closeProxy := New(Options{
		Self: id, Zone: zone, Settings: f.settings, Decisions: n.decisions, Log: zap.NewNop(), Metrics: n.metrics, Store: f.store,
		Snapshot: f.snapshot.Load, View: f.view.Load, LocalGuard: guards.Get, EndTargetCalls: guards.EndCallsBy, LinkSpeed: f.linkSpeed, Memory: f.memory,
	})
	n.proxy = proxy
	n.callers, n.forwardedCalls = startServer(proxy.CallersServer(), proxy.CallersListener), startServer(proxy.NodesServer(), proxy.NodesListener)
	f.nodes[id] = n
	f.t.Cleanup(func() {
		n.callers.CloseClientConnections()
		closeProxy()
		n.callers.Close()
		_ = n.forwardedCalls.Config.Close()
		closeGuards()
	})
	return n
}

// startServer starts a server with the given configuration. wrap wraps its
// listener and may be nil.
func startServer(config *http.Server, wrap func(net.Listener) net.Listener) *httptest.Server {
	server := httptest.NewUnstartedServer(config.Handler)
	server.Config = config
	if wrap != nil {
		server.Listener = wrap(server.Listener)
	}
	server.Start()
	return server
}

// startTarget starts a target on a node and adds it to the view of all nodes.
func (f *fleet) startTarget(id qhid.Target, service qhid.Service, on qhid.Node, slots int, handler http.HandlerFunc) *httptest.Server {
	server := httptest.NewServer(handler)
	f.t.Cleanup(server.Close)
	f.announceTarget(id, service, on, slots, qhid.Address(server.Listener.Addr().String()))
	return server
}

// announceTarget adds a target at an address to a node's guards and to the view
// of all nodes.
func (f *fleet) announceTarget(id qhid.Target, service qhid.Service, on qhid.Node, slots int, address qhid.Address) *qhmember.Endpoint {
	n := f.nodes[on]
	n.guards.Put(qhguard.TargetInfo{ID: id, Service: service, Address: address, Slots: slots, State: qhmember.Up})
	endpoint := &qhmember.Endpoint{
		AnnouncedTarget: qhmember.AnnouncedTarget{ID: id, Service: service, State: qhmember.Up, Slots: slots},
		Node:            on, Zone: n.zone, CallAddress: qhid.Address(n.forwardedCalls.Listener.Addr().String()), Stats: &qhmember.EndpointStats{},
	}
	old := f.view.Load().Services
	next := make(map[qhid.Service][]*qhmember.Endpoint)
	for name, list := range old {
		next[name] = slices.Clone(list)
	}
	next[service] = append(next[service], endpoint)
	f.view.Store(&qhmember.View{Services: next})
	return endpoint
}

// startBehindForwarder starts a target on a node that others reach through a forwarder.
func (f *fleet) startBehindForwarder(on qhid.Node, slots int, handler http.HandlerFunc) *qhforward.Forwarder {
	forwarder, stop, err := qhforward.New(context.Background(), qhid.Address(f.nodes[on].forwardedCalls.Listener.Addr().String()))
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(stop)
	f.startTarget("t1", "desk", on, slots, handler)
	f.view.Load().Services["desk"][0].CallAddress = forwarder.Address()
	return forwarder
}

// executionRecorder counts the executions at targets by request ID.
type executionRecorder struct {
	mu        sync.Mutex
	byRequest map[string]int
}

func (r *executionRecorder) add(request *http.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byRequest == nil {
		r.byRequest = make(map[string]int)
	}
	r.byRequest[request.Header.Get(qhheader.RequestID)]++
}

func (r *executionRecorder) count(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.byRequest[id]
}

// callResult is a response as the caller sees it.
type callResult struct {
	status  int
	header  http.Header
	trailer http.Header
	body    string
	err     error
}

// newClient returns a client that does not reuse connections, so that its
// transport never retries.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
}

func doCall(ctx context.Context, n *node, method, path, id string, body io.Reader, edit ...func(*http.Request)) callResult {
	req, err := http.NewRequestWithContext(ctx, method, n.callers.URL+path, body)
	if err != nil {
		return callResult{err: err}
	}
	req.Header.Set(qhheader.RequestID, id)
	for _, f := range edit {
		f(req)
	}
	resp, err := newClient().Do(req)
	if err != nil {
		return callResult{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	return callResult{status: resp.StatusCode, header: resp.Header, trailer: resp.Trailer, body: string(text), err: err}
}

func newRoute(name qhid.Route, prefix string, service qhid.Service, edit ...func(*qhconfig.Route)) qhconfig.Route {
	r := qhconfig.Route{Name: name, Prefix: prefix, Shares: []qhconfig.Share{{Service: service, Percent: 100}}}
	for _, f := range edit {
		f(&r)
	}
	return r
}

// unresponsiveListener accepts connections and never responds on them.
func unresponsiveListener(t testing.TB) net.Listener {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	return listener
}
