package qhserve

import (
	"cmp"
	"fmt"
	"runtime/debug"
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhmemory"
	"quetzalhaven.dev/qhsetting"
)

const (
	// defaultMaxMemory is the memory of a process for which the settings name none.
	defaultMaxMemory qhid.Bytes = 1 << 30
	// runtimeMemoryShare is the part of the memory from which on the runtime collects garbage
	// more often. The rest is for what the runtime does not count, such as the program itself.
	runtimeMemoryShare = 3.0 / 4
	// clientMemoryShare is the part of the memory that may be held for clients. The rest is for
	// the configuration, other nodes and garbage.
	clientMemoryShare = 1.0 / 3
	// clientFilesShare is the part of the open files that may be connections of clients. The rest
	// is for connections to targets, other nodes and the store, and for files.
	clientFilesShare = 3.0 / 4
	// evictionLogInterval and evictionLogBurst bound the log lines on disconnected clients.
	evictionLogInterval = time.Second
	evictionLogBurst    = 10
)

// maxMemory returns the memory of the process.
func maxMemory(settings qhsetting.Node) qhid.Bytes {
	return cmp.Or(settings.Bounds.MaxMemory, defaultMaxMemory)
}

// maxOpenFiles returns the limit on open files of the process, 0 if it is not known.
func maxOpenFiles(settings qhsetting.Node) int {
	ofSystem, ofSettings := openFilesLimit(), settings.Bounds.MaxOpenFiles
	if ofSystem == 0 || ofSettings == 0 {
		return max(ofSystem, ofSettings)
	}
	return min(ofSystem, ofSettings)
}

// limitRuntimeMemory makes the runtime collect garbage more often when the process has used a
// large part of its memory.
func limitRuntimeMemory(settings qhsetting.Node) {
	debug.SetMemoryLimit(int64(runtimeMemoryShare * float64(maxMemory(settings))))
}

// newMemoryAccount returns the account of what is held for clients.
func (n *Node) newMemoryAccount() *qhmemory.Account {
	limits := qhmemory.Limits{
		Memory:  qhid.Bytes(clientMemoryShare * float64(maxMemory(n.Settings))),
		Clients: int(clientFilesShare * float64(maxOpenFiles(n.Settings))),
	}
	account := qhmemory.NewAccount(limits, n.evictionObserver())
	for _, kind := range qhmemory.Kinds() {
		n.metrics.NewGauge(fmt.Sprintf("qh_held_bytes{kind=%q}", kind), func() float64 { return float64(account.Held(kind)) })
	}
	n.metrics.NewGauge("qh_held_limit_bytes", func() float64 { return float64(limits.Memory) })
	n.metrics.NewGauge("qh_clients_limit", func() float64 { return float64(limits.Clients) })
	n.metrics.NewGauge("qh_clients", func() float64 { return float64(account.Clients()) })
	return account
}

// evictionObserver returns a function that counts and logs disconnected clients.
func (n *Node) evictionObserver() func(qhmemory.Eviction) {
	limiter := rate.NewLimiter(rate.Every(evictionLogInterval), evictionLogBurst)
	return func(e qhmemory.Eviction) {
		n.metrics.GetOrCreateCounter(fmt.Sprintf("qh_clients_disconnected_total{cause=%q}", e.Cause)).Inc()
		if !limiter.Allow() {
			return
		}
		n.Log.Warn("client disconnected to make room", zap.String("cause", string(e.Cause)), zap.String("client", e.Name),
			zap.Int64("pending", int64(e.Pending)), zap.Int64("held", int64(e.Held)), zap.Int("clients", e.Clients))
	}
}
