// Package qhmemory keeps account of what a node holds in memory for its clients, and
// decides which of them is refused or disconnected when that reaches a limit.
//
// What is held for a client is pending or running. It is pending while the client has to
// go on before the node can release it: an idle connection, an incomplete request, a
// response that is not read. It is running while the node works on a complete call. If
// there is no room, the client that holds the most pending memory is disconnected, and of
// several the one that has sent nothing for the longest time. Running calls are not ended
// for room; new ones are refused, the largest first.
package qhmemory

import (
	"math/bits"
	"sync"
	"sync/atomic"

	"quetzalhaven.dev/qhid"
)

// Kind is a kind of memory held for clients.
type Kind int

// The kinds.
const (
	// Connection is the fixed part of each connection: its buffers and goroutines.
	Connection Kind = iota
	// Input is what was received of requests that no call was started for.
	Input
	// Call is the heads of calls in flight.
	Call
	// Body is the request bodies of calls.
	Body
	// Response is the responses that were not written completely.
	Response
	kindCount
)

// Kinds returns all kinds.
func Kinds() []Kind { return []Kind{Connection, Input, Call, Body, Response} }

// String returns the name of the kind in metrics and logs.
func (k Kind) String() string {
	return [...]string{"connection", "input", "call", "body", "response"}[k]
}

const (
	// connectionCost is held for each connection.
	connectionCost qhid.Bytes = 16 << 10
	// ordinaryCost is more than what an ordinary call holds. It is admitted at the expense
	// of any pending memory, a larger one only of clients that hold more.
	ordinaryCost qhid.Bytes = 64 << 10
	// maxRoomShare is the part of the free room that a single call may take, so that the
	// largest calls are refused first.
	maxRoomShare = 8
	// runningShare and settledShare are the parts of the limit that running calls may have,
	// and up to which pending memory may become running. The rest is left to connections and
	// requests that arrive.
	runningShare = 7.0 / 8
	settledShare = 3.0 / 4
	// overfullShare is the part of the limit from which on calls and bodies wait until
	// disconnected clients have released what they hold.
	overfullShare = 5.0 / 4
)

// Limits bounds an Account.
type Limits struct {
	// Memory bounds what is held for all clients together.
	Memory qhid.Bytes
	// Clients bounds the number of connections; 0 for no bound.
	Clients int
}

// Cause is why a client was disconnected.
type Cause string

// The causes.
const (
	// NoMemory means that the limit on memory was reached.
	NoMemory Cause = "memory"
	// NoConnections means that the limit on connections was reached.
	NoConnections Cause = "connections"
)

// Eviction tells which client was disconnected to make room.
type Eviction struct {
	Cause Cause
	// Name is the name of the client.
	Name string
	// Pending is the pending memory that it held, and Held is what all clients hold.
	Pending, Held qhid.Bytes
	// Clients is the number of connections.
	Clients int
}

// Account has what is held for all clients of a node. It is safe for concurrent use.
type Account struct {
	limits Limits
	// onEvict is called after each eviction, without locks. It must not block.
	onEvict func(Eviction)
	// sequence numbers the events that count as progress of a client.
	sequence atomic.Uint64

	mu      sync.Mutex
	clients map[*Client]struct{}
	held    [kindCount]qhid.Bytes
	// total is what is held for all clients, active for those that were not evicted, and
	// running the running part of all.
	total, active, running qhid.Bytes
	// ending is the number of clients that were evicted and are not closed yet.
	ending int
	// released is closed when memory is released or a client is disconnected; nil if nothing
	// waits for that.
	released chan struct{}
}

// NewAccount returns an account in which nothing is held.
func NewAccount(limits Limits, onEvict func(Eviction)) *Account {
	return &Account{limits: limits, onEvict: onEvict, clients: make(map[*Client]struct{})}
}

// Limits returns the limits of the account.
func (a *Account) Limits() Limits { return a.limits }

// Held returns what is held of a kind.
func (a *Account) Held(kind Kind) qhid.Bytes {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.held[kind]
}

// Clients returns the number of connections.
func (a *Account) Clients() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.clients)
}

// Client is one connection. Its methods do nothing on nil, which is a client that no account
// is kept of.
type Client struct {
	account *Account
	name    string
	// disconnect closes the connection. It must not block.
	disconnect func()
	// progress is the sequence number of the last bytes that the client sent or took.
	progress atomic.Uint64

	// The following fields are guarded by account.mu. held is what is held for the client in
	// all, and pending the part that is pending. calls counts its running calls.
	held, pending qhid.Bytes
	calls         int
	// keepWhileCalling keeps the client while it has running calls, whatever is pending.
	keepWhileCalling bool
	// served is set once a call of the client was admitted.
	served bool
	// evicted is set once the client was disconnected to make room.
	evicted    bool
	connection *Charge
}

// Open adds a connection and disconnects others if there are too many. disconnect closes the
// connection; it is called without locks and must not block.
func (a *Account) Open(name string, disconnect func()) *Client {
	if a == nil {
		return nil
	}
	c := &Client{account: a, name: name, disconnect: disconnect}
	c.Progress()
	c.connection = &Charge{client: c, kind: Connection, pending: true}
	a.mu.Lock()
	a.clients[c] = struct{}{}
	var victims []*Client
	if limit := a.limits.Clients; limit > 0 {
		for excess := len(a.clients) - a.ending - limit; excess > 0; excess-- {
			victim := a.worst(func(other *Client) bool { return other != c })
			if victim == nil {
				break
			}
			victims = append(victims, a.evict(victim))
		}
	}
	a.mu.Unlock()
	a.disconnect(NoConnections, victims)
	c.connection.Set(connectionCost)
	return c
}

// Close ends the connection and releases what is held for it, apart from its calls.
func (c *Client) Close() {
	if c == nil {
		return
	}
	c.connection.Release()
	a := c.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, open := a.clients[c]; !open {
		return
	}
	delete(a.clients, c)
	if c.evicted {
		a.ending--
	}
}

// Progress records that the client has sent or taken bytes.
func (c *Client) Progress() {
	if c != nil {
		c.progress.Store(c.account.sequence.Add(1))
	}
}

// KeepWhileCalling keeps the client from being disconnected while it has running calls. It is
// for connections that carry the calls of many callers.
func (c *Client) KeepWhileCalling() {
	if c == nil {
		return
	}
	c.account.mu.Lock()
	defer c.account.mu.Unlock()
	c.keepWhileCalling = true
}

// Hold returns an empty charge of pending memory.
func (c *Client) Hold(kind Kind) *Charge {
	if c == nil {
		return nil
	}
	return &Charge{client: c, kind: kind, pending: true}
}

// Admit reports whether a call that takes size bytes may be started, and returns its charge.
func (c *Client) Admit(size qhid.Bytes) (*Charge, bool) {
	if c == nil {
		return nil, true
	}
	a := c.account
	a.mu.Lock()
	room := qhid.Bytes(runningShare*float64(a.limits.Memory)) - a.running
	if size > room/maxRoomShare || a.isOverfull() {
		a.mu.Unlock()
		return nil, false
	}
	charge := &Charge{client: c, kind: Call}
	charge.add(size)
	victims := a.makeRoom(func(other *Client) bool {
		return other != c && (size <= ordinaryCost || other.pending > size)
	})
	admitted := a.active <= a.limits.Memory && !c.evicted
	if admitted {
		c.calls++
		c.served = true
		charge.isCall = true
	} else {
		charge.add(-charge.size)
	}
	a.mu.Unlock()
	a.disconnect(NoMemory, victims)
	if !admitted {
		return nil, false
	}
	return charge, true
}

// AdmitAlways starts a call that can no longer be refused.
func (c *Client) AdmitAlways(size qhid.Bytes) *Charge {
	if c == nil {
		return nil
	}
	a := c.account
	a.mu.Lock()
	defer a.mu.Unlock()
	charge := &Charge{client: c, kind: Call, isCall: true}
	charge.add(size)
	c.calls++
	c.served = true
	return charge
}

// isOverfull reports whether disconnected clients still hold too much. a.mu must be held.
func (a *Account) isOverfull() bool {
	return a.total > qhid.Bytes(overfullShare*float64(a.limits.Memory))
}

// makeRoom evicts clients until what is held is within the limit. It returns those that are
// to be disconnected. a.mu must be held.
func (a *Account) makeRoom(mayEvict func(*Client) bool) []*Client {
	var victims []*Client
	for a.active > a.limits.Memory {
		victim := a.worst(mayEvict)
		if victim == nil {
			break
		}
		victims = append(victims, a.evict(victim))
	}
	return victims
}

// worst returns the client to disconnect next, or nil. a.mu must be held.
func (a *Account) worst(mayEvict func(*Client) bool) *Client {
	var worst *Client
	for c := range a.clients {
		if c.evicted || c.calls > 0 && (c.keepWhileCalling || c.pending <= connectionCost) || !mayEvict(c) {
			continue
		}
		if worst == nil || c.isWorseThan(worst) {
			worst = c
		}
	}
	return worst
}

// isWorseThan reports whether the client is disconnected before another one. Its pending
// memory counts by powers of two, so that among clients that hold about the same the one
// that gets on stays. a.mu must be held.
func (c *Client) isWorseThan(other *Client) bool {
	if size, otherSize := c.sizeClass(), other.sizeClass(); size != otherSize {
		return size > otherSize
	}
	if (c.calls > 0) != (other.calls > 0) {
		return c.calls == 0
	}
	if c.served != other.served {
		return !c.served
	}
	return c.progress.Load() < other.progress.Load()
}

func (c *Client) sizeClass() int { return bits.Len64(uint64(c.pending / connectionCost)) }

// evict marks a client as evicted and returns it. a.mu must be held.
func (a *Account) evict(c *Client) *Client {
	c.evicted = true
	a.wakeWaiting()
	a.ending++
	a.active -= c.held
	return c
}

// wakeWaiting wakes what waits for memory to be released. a.mu must be held.
func (a *Account) wakeWaiting() {
	if a.released != nil {
		close(a.released)
		a.released = nil
	}
}

// disconnect disconnects evicted clients.
func (a *Account) disconnect(cause Cause, victims []*Client) {
	for _, victim := range victims {
		a.mu.Lock()
		eviction := Eviction{Cause: cause, Name: victim.name, Pending: victim.pending, Held: a.active, Clients: len(a.clients)}
		a.mu.Unlock()
		victim.disconnect()
		a.onEvict(eviction)
	}
}
