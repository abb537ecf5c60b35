package qhquota

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"quetzalhaven.dev/qhclock"
	"quetzalhaven.dev/qhgroup"
	"quetzalhaven.dev/qhid"
)

const (
	// sendInterval is how often a node sends its surplus to the pools.
	sendInterval = 500 * time.Millisecond
	// fullPause is how many intervals a node keeps its surplus of a key whose pool is
	// full.
	fullPause = 2
	// askTimeout bounds a message to a pool, and so the wait of a call.
	askTimeout = 150 * time.Millisecond
	// askTime is the time of whose demand as many tokens are asked for.
	askTime = 250 * time.Millisecond
	// skipTime is how long a keeper that did not respond is skipped.
	skipTime = 2 * time.Second
	// minRetryAfter and maxRetryAfter bound when a refused caller should return.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 2 * time.Second
	// nodesMemory is how long the number of nodes counts after it has fallen: others
	// may not know of it yet.
	nodesMemory = 10 * time.Second
)

// Message is what a node sends to the keeper of pools. It is valid in itself: tokens
// that it brings were taken out of the sender's purses before.
type Message struct {
	// Surplus is added to the pools.
	Surplus map[Key]Surplus `json:"s,omitempty"`
	// Wanted are tokens that the sender asks for.
	Wanted map[Key]float64 `json:"w,omitempty"`
	// RepliedAt is the At of the last Reply of the receiver that the sender has, and
	// ReplyAge the time since it came, on the sender's clock. The message was not sent
	// before the sum of both, on the receiver's clock.
	RepliedAt qhclock.Instant `json:"r,omitempty"`
	ReplyAge  time.Duration   `json:"a,omitempty"`
}

// Surplus is a number of tokens that the sender does not need.
type Surplus struct {
	Tokens float64 `json:"n"`
	// Age is the age of the oldest when the message was sent.
	Age time.Duration `json:"a"`
}

// Reply is the answer to a Message.
type Reply struct {
	// Lent were taken out of the pools.
	Lent map[Key]float64 `json:"l,omitempty"`
	// Waits has, for keys of which nothing was lent, when there should be a token.
	Waits map[Key]time.Duration `json:"w,omitempty"`
	// Full lists the keys whose pools are full.
	Full []Key `json:"f,omitempty"`
	// At is when the message was answered, on the clock of the keeper.
	At qhclock.Instant `json:"at"`
}

// Options configures a Local. All fields are required.
type Options struct {
	// Limit returns the limit of a key, or false if it has none.
	Limit func(Key) (Limit, bool)
	// Keys returns all keys with a limit.
	Keys func() []Key
	// Nodes returns the number of nodes that mint tokens, or 0 if it is not known yet.
	Nodes func() int
	// Keepers returns the nodes that may keep the pool of a key, the first choice
	// first.
	Keepers func(Key) []qhid.Node
	Self    qhid.Node
	// Send sends a message to another node.
	Send func(ctx context.Context, to qhid.Node, message Message) (Reply, error)
	Now  func() qhclock.Instant
	// Group runs the messages that calls wait for.
	Group   *qhgroup.Group
	Log     *zap.Logger
	Metrics *metrics.Set
}

// Local keeps this node's purses, and the pools that it keeps for others. It is safe for
// concurrent use.
type Local struct {
	Options
	refused *metrics.Counter

	mu     sync.Mutex
	purses map[Key]*purse
	pools  map[Key]*pool
	// emptyUntil is when a key should have tokens again.
	emptyUntil map[Key]qhclock.Instant
	// keepUntil is how long the surplus of a key is kept, since its pool is full.
	keepUntil map[Key]qhclock.Instant
	// skippedUntil has the keepers that did not respond.
	skippedUntil map[qhid.Node]qhclock.Instant
	// replies has the last reply of each keeper that responds.
	replies map[qhid.Node]keeperReply
	// asks has the messages that calls wait for, by keeper.
	asks map[qhid.Node]*ask
	// mostNodes is the largest number of nodes since mostNodesAt.
	mostNodes   int
	mostNodesAt qhclock.Instant
}

// keeperReply is when a keeper replied last, on its clock, and when the reply came, on the
// clock of this node.
type keeperReply struct{ at, arrived qhclock.Instant }

// ask collects what calls want of a keeper while the message before is under way.
type ask struct {
	keys map[Key]int
	// done is closed when the reply has come or failed.
	done chan struct{}
	// next is the ask that follows; nil if there is none.
	next *ask
}

// New returns a Local without tokens. Run must be called for it to mint any.
func New(options Options) *Local {
	return &Local{
		Options: options, refused: options.Metrics.NewCounter("qh_quota_refusals_total"),
		purses: make(map[Key]*purse), pools: make(map[Key]*pool), emptyUntil: make(map[Key]qhclock.Instant),
		keepUntil: make(map[Key]qhclock.Instant), skippedUntil: make(map[qhid.Node]qhclock.Instant), replies: make(map[qhid.Node]keeperReply), asks: make(map[qhid.Node]*ask),
	}
}

// Verdict is the decision on one use.
type Verdict struct {
	Granted bool
	// RetryAfter is when there should be a token again, if none was granted.
	RetryAfter time.Duration
}

// Take uses a token of the key. If this node has none, it asks for some, which takes
// about a round trip to another node.
func (l *Local) Take(ctx context.Context, key Key) Verdict {
	limit, ok := l.Limit(key)
	if !ok {
		return Verdict{Granted: true}
	}
	l.mu.Lock()
	now := l.Now()
	p := l.purseOf(key, now)
	p.mint(now, limit, l.nodes(now))
	p.want(now)
	if p.take(now) {
		l.mu.Unlock()
		return Verdict{Granted: true}
	}
	if wait := l.emptyUntil[key].Since(now); wait > 0 {
		defer l.mu.Unlock()
		return l.refuse(p, wait)
	}
	keeper, found := l.keeperOf(key, now)
	if !found {
		defer l.mu.Unlock()
		return l.refuse(p, maxRetryAfter)
	}
	waiting := l.join(keeper, key)
	l.mu.Unlock()
	select {
	case <-waiting.done:
	case <-ctx.Done():
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now = l.Now()
	if p = l.purseOf(key, now); p.take(now) {
		return Verdict{Granted: true}
	}
	return l.refuse(p, max(l.emptyUntil[key].Since(now), minRetryAfter))
}

// refuse counts a refusal. The lock is held.
func (l *Local) refuse(p *purse, wait time.Duration) Verdict {
	l.refused.Inc()
	p.refused++
	return Verdict{RetryAfter: min(max(wait, minRetryAfter), maxRetryAfter)}
}

// purseOf returns the purse of a key. The lock is held.
func (l *Local) purseOf(key Key, now qhclock.Instant) *purse {
	p := l.purses[key]
	if p == nil {
		p = newPurse(now)
		l.purses[key] = p
	}
	return p
}

// nodes returns the number of nodes by which the tokens are divided: the largest of the
// last time. The lock is held.
func (l *Local) nodes(now qhclock.Instant) int {
	current := l.Nodes()
	if current == 0 {
		return 0
	}
	if current >= l.mostNodes || now.Since(l.mostNodesAt) > nodesMemory {
		l.mostNodes, l.mostNodesAt = current, now
	}
	return l.mostNodes
}

// keeperOf returns the node that keeps the pool of a key, or false if none responds. The
// lock is held.
func (l *Local) keeperOf(key Key, now qhclock.Instant) (qhid.Node, bool) {
	for _, keeper := range l.Keepers(key) {
		if l.skippedUntil[keeper] <= now {
			return keeper, true
		}
	}
	return "", false
}

// join adds a call to the ask to a keeper that is sent next. The lock is held.
func (l *Local) join(keeper qhid.Node, key Key) *ask {
	current := l.asks[keeper]
	if current == nil {
		current = &ask{keys: make(map[Key]int), done: make(chan struct{})}
		l.asks[keeper] = current
		current.keys[key]++
		l.Group.Go(func(context.Context) { l.sendAsks(keeper, current) })
		return current
	}
	if current.next == nil {
		current.next = &ask{keys: make(map[Key]int), done: make(chan struct{})}
	}
	current.next.keys[key]++
	return current.next
}

// sendAsks sends an ask and those that calls have joined meanwhile, one after the other.
func (l *Local) sendAsks(keeper qhid.Node, current *ask) {
	for current != nil {
		l.mu.Lock()
		now := l.Now()
		wanted := make(map[Key]float64, len(current.keys))
		for key, calls := range current.keys {
			wanted[key] = max(float64(calls), l.purseOf(key, now).demandRate(now)*askTime.Seconds())
		}
		l.mu.Unlock()
		l.exchange(context.Background(), keeper, Message{Wanted: wanted})
		l.mu.Lock()
		next := current.next
		close(current.done)
		if next == nil {
			delete(l.asks, keeper)
		} else {
			l.asks[keeper] = next
		}
		l.mu.Unlock()
		current = next
	}
}

// exchange sends a message to a keeper and records its reply. Tokens of a message that
// fails are lost.
func (l *Local) exchange(ctx context.Context, keeper qhid.Node, message Message) {
	askedAt := l.Now()
	reply, err := l.sendTo(ctx, keeper, message)
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Now()
	if err != nil {
		delete(l.replies, keeper)
		l.skippedUntil[keeper] = now.Add(skipTime)
		l.Log.Info("keeper of allowances does not respond; another is used", zap.String("member", string(keeper)), zap.Error(err))
		return
	}
	l.replies[keeper] = keeperReply{at: reply.At, arrived: now}
	for key, tokens := range reply.Lent {
		if _, asked := message.Wanted[key]; asked && tokens <= message.Wanted[key] {
			l.purseOf(key, now).add(tokens, askedAt)
		}
	}
	for key, wait := range reply.Waits {
		l.emptyUntil[key] = now.Add(min(max(wait, 0), maxRetryAfter))
	}
	for _, key := range reply.Full {
		l.keepUntil[key] = now.Add(fullPause * sendInterval)
	}
}

func (l *Local) sendTo(ctx context.Context, keeper qhid.Node, message Message) (Reply, error) {
	if keeper == l.Self {
		return l.Answer(message), nil
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	return l.Send(ctx, keeper, message)
}

// Answer answers a message of another node, or of this one.
func (l *Local) Answer(message Message) Reply {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Now()
	reply := Reply{Lent: make(map[Key]float64), Waits: make(map[Key]time.Duration), At: now}
	sentAt := message.RepliedAt.Add(message.ReplyAge)
	for key, surplus := range message.Surplus {
		limit, ok := l.Limit(key)
		if ok && sentAt <= now && surplus.Age >= 0 && l.poolOf(key).add(now, surplus.Tokens, sentAt.Add(-surplus.Age), limit) {
			reply.Full = append(reply.Full, key)
		}
	}
	for key, wanted := range message.Wanted {
		limit, ok := l.Limit(key)
		if !ok {
			continue
		}
		lent, wait := l.poolOf(key).lend(now, wanted, limit)
		if lent > 0 {
			reply.Lent[key] = lent
		} else {
			reply.Waits[key] = wait
		}
	}
	return reply
}

// poolOf returns the pool of a key that this node keeps. The lock is held.
func (l *Local) poolOf(key Key) *pool {
	p := l.pools[key]
	if p == nil {
		p = &pool{}
		l.pools[key] = p
	}
	return p
}

// Run mints tokens and sends the surplus to the pools until the context ends.
func (l *Local) Run(ctx context.Context) {
	for qhgroup.Sleep(ctx, sendInterval) {
		l.sendSurplus(ctx)
	}
}

// sendSurplus sends the surplus of all keys to their keepers. One that has not replied yet
// is asked for its clock first.
func (l *Local) sendSurplus(ctx context.Context) {
	keys := l.Keys()
	for keeper, known := range l.keepersOf(keys) {
		if !known {
			l.exchange(ctx, keeper, Message{})
		}
	}
	for keeper, message := range l.surplus(keys) {
		l.exchange(ctx, keeper, message)
	}
}

// keepersOf returns the keepers of the keys, and whether each has replied.
func (l *Local) keepersOf(keys []Key) map[qhid.Node]bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Now()
	keepers := make(map[qhid.Node]bool)
	for _, key := range keys {
		if keeper, found := l.keeperOf(key, now); found {
			_, keepers[keeper] = l.replies[keeper]
		}
	}
	return keepers
}

// surplus takes the tokens that this node does not need out of its purses, by the keeper
// to send them to. It also forgets keys that have no limit any more.
func (l *Local) surplus(keys []Key) map[qhid.Node]Message {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Now()
	nodes := l.nodes(now)
	messages := make(map[qhid.Node]Message)
	for _, key := range keys {
		limit, ok := l.Limit(key)
		if !ok {
			continue
		}
		p := l.purseOf(key, now)
		p.mint(now, limit, nodes)
		keeper, found := l.keeperOf(key, now)
		reply, known := l.replies[keeper]
		if !found || !known || l.keepUntil[key] > now {
			continue
		}
		surplus := p.withdrawSurplus(now)
		if surplus.Tokens <= 0 {
			continue
		}
		if messages[keeper].Surplus == nil {
			messages[keeper] = Message{Surplus: make(map[Key]Surplus), RepliedAt: reply.at, ReplyAge: now.Since(reply.arrived)}
		}
		messages[keeper].Surplus[key] = surplus
	}
	if len(l.purses) > len(keys) || len(l.pools) > len(keys) {
		l.forget()
	}
	return messages
}

// forget drops the keys that have no limit any more. The lock is held.
func (l *Local) forget() {
	for key := range l.purses {
		if _, ok := l.Limit(key); !ok {
			delete(l.purses, key)
			delete(l.emptyUntil, key)
			delete(l.keepUntil, key)
		}
	}
	for key := range l.pools {
		if _, ok := l.Limit(key); !ok {
			delete(l.pools, key)
		}
	}
}

// Use is what this node knows of a key.
type Use struct {
	Key    Key     `json:"key"`
	Tokens float64 `json:"tokens"`
	// Demand is the number of tokens wanted per second on this node.
	Demand float64 `json:"demand"`
	// Refused counts the wanted tokens that this node had none for.
	Refused uint64 `json:"refused"`
	// Pool is the number of tokens in the pool that this node keeps.
	Pool float64 `json:"pool,omitempty"`
}

// Uses returns the uses of all keys that this node has a purse of, in no order.
func (l *Local) Uses() []Use {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Now()
	var uses []Use
	for key, p := range l.purses {
		use := Use{Key: key, Tokens: p.total(), Demand: p.demandRate(now), Refused: p.refused}
		if kept := l.pools[key]; kept != nil {
			use.Pool = kept.tokens.total()
		}
		uses = append(uses, use)
	}
	return uses
}
