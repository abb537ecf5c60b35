package qhfeed

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"go.uber.org/zap"

	"quetzalhaven.dev/qhconfig"
	"quetzalhaven.dev/qhgroup"
	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhmember"
	"quetzalhaven.dev/qhwire"
)

const (
	// exchangePath is where a node answers others.
	exchangePath = "/exchange"
	// exchangeTimeout bounds one exchange.
	exchangeTimeout = time.Second
	// exchangePause is the pause between two exchanges while the store is out of reach.
	exchangePause = 700 * time.Millisecond
	// maxExchange bounds what a peer sends.
	maxExchange qhid.Bytes = 8 << 20
	// peerIdle is how long a connection to a peer is kept.
	peerIdle = 5 * time.Second
	// peerConns is how many connections to a peer are kept: one for each follower.
	peerConns = 2
)

// told is what two nodes tell each other.
type told struct {
	Version qhid.Version `json:"v"`
	// Sum is the digest of all entries.
	Sum qhmember.Digest `json:"s"`
	// Entries are the sender's own, or all where the other's digest differs.
	Entries []qhmember.Entry `json:"e,omitempty"`
	// Config is the configuration of Version, packed, where the other has an older one.
	Config qhwire.Packed `json:"c,omitempty"`
}

// Handler answers the exchanges of other nodes.
func (f *Feed) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+exchangePath, func(w http.ResponseWriter, r *http.Request) {
		if heard, ok := read[told](w, r, maxExchange); ok {
			f.hear(heard)
			reply(w, f.answer(heard))
		}
	})
	mux.HandleFunc("POST "+followPath, f.serveFollower)
	mux.HandleFunc("POST "+newsPath, f.serveNews)
	return mux
}

// answer tells a peer what it lacks.
func (f *Feed) answer(heard told) told {
	said := told{Version: f.Holder.Version(), Sum: f.Members.Digest()}
	if said.Sum != heard.Sum {
		said.Entries = f.Members.View().Entries
	}
	if snapshot := f.Holder.Current(); snapshot != nil && snapshot.Version > heard.Version {
		packed, err := qhwire.Pack(snapshot.Config)
		if err != nil {
			f.Log.Error("configuration not packed for a peer", zap.Error(err))
			return said
		}
		said.Version, said.Config = snapshot.Version, packed
	}
	return said
}

// hear takes what a peer told.
func (f *Feed) hear(heard told) {
	for _, entry := range f.Members.Merge(heard.Entries) {
		f.Log.Info("member known from a peer", zap.String("member", string(entry.Node)), zap.String("state", string(entry.State)))
	}
	f.Members.Refresh()
	if len(heard.Config) == 0 {
		return
	}
	config, err := qhwire.Unpack[qhconfig.Config](heard.Config)
	if err == nil {
		_, err = f.Holder.ApplyWithoutDigest(heard.Version, config)
	}
	if err != nil {
		f.Log.Error("configuration of a peer refused", zap.Uint64("version", uint64(heard.Version)), zap.Error(err))
	}
}

// askPeers exchanges with other nodes while the store is out of reach.
func (f *Feed) askPeers(ctx context.Context) {
	for qhgroup.Sleep(ctx, exchangePause/2+rand.N(exchangePause)) {
		if f.StoreReachable() {
			continue
		}
		if address, ok := f.pickPeer(); ok {
			f.ask(ctx, address)
		}
	}
}

// pickPeer returns a random node that is known, or a seed.
func (f *Feed) pickPeer() (qhid.Address, bool) {
	self := f.Members.Self()
	var addresses []qhid.Address
	for _, entry := range f.Members.View().Entries {
		if entry.Node != self.Node {
			addresses = append(addresses, entry.PeerAddress)
		}
	}
	if len(addresses) == 0 || !f.peer.Load() {
		addresses = append(addresses, f.seeds(self.PeerAddress)...)
	}
	if len(addresses) == 0 {
		return "", false
	}
	return addresses[rand.IntN(len(addresses))], true
}

// seeds returns where the seeds take exchanges: all nodes use the same port.
func (f *Feed) seeds(own qhid.Address) []qhid.Address {
	host, port, err := net.SplitHostPort(string(own))
	if err != nil {
		return nil // the settings were checked
	}
	var addresses []qhid.Address
	for _, seed := range f.Seeds() {
		if other, _, err := net.SplitHostPort(string(seed)); err == nil && other != host {
			addresses = append(addresses, qhid.Address(net.JoinHostPort(other, port)))
		}
	}
	return addresses
}

// ask exchanges with one node.
func (f *Feed) ask(ctx context.Context, address qhid.Address) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	own := told{Version: f.Holder.Version(), Sum: f.Members.Digest(), Entries: []qhmember.Entry{f.Members.Self()}}
	heard, err := post[told](ctx, f.client, address, exchangePath, own)
	if err != nil {
		f.Log.Info("peer does not answer", zap.String("address", string(address)), zap.Error(err))
		return
	}
	f.hear(heard)
	f.peer.Store(true)
	f.settle()
}
