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
	"quetzalhaven.dev/qhplatform"
	"quetzalhaven.dev/qhwire"
)

const (
	// exchangePath is the HTTP path on which a node answers exchanges with peers.
	exchangePath = "/exchange"
	// exchangeTimeout bounds one exchange with a peer.
	exchangeTimeout = time.Second
	// exchangeInterval is the mean time between two exchanges while the store is
	// unreachable.
	exchangeInterval = 700 * time.Millisecond
	// maxExchangeSize bounds the size of any message from a peer.
	maxExchangeSize qhid.Bytes = 8 << 20
	// peerIdleTimeout is how long an idle connection to a peer is kept open.
	peerIdleTimeout = 5 * time.Second
	// maxPeerConnections is the number of idle connections kept to a peer: one for
	// each watcher.
	maxPeerConnections = 2
)

// exchangeMessage is the request and the response of an exchange between two nodes.
type exchangeMessage struct {
	// Version is the version in force on the sender.
	Version qhid.Version `json:"v"`
	// Checksum is the checksum of all entries that the sender knows.
	Checksum qhmember.Checksum `json:"s"`
	// Entries has the sender's own entry in a request. In a response it has all
	// entries if the checksums differ.
	Entries []qhmember.Entry `json:"e,omitempty"`
	// Config is the packed configuration of Version. It is set only in a response
	// to a node with an older version.
	Config qhwire.Packed `json:"c,omitempty"`
	// ProofAge is the age of the sender's proof that Version is the newest, in
	// nanoseconds, in a response; nil if it has none.
	ProofAge *time.Duration `json:"g,omitempty"`
	// Rollouts has the objects with roll-outs in a response.
	Rollouts []qhplatform.Object `json:"r,omitempty"`
}

// Handler serves the requests of other nodes: exchanges, watches through this node,
// and notices of new versions.
func (f *Feed) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+exchangePath, func(w http.ResponseWriter, r *http.Request) {
		if message, ok := readRequest[exchangeMessage](w, r, maxExchangeSize); ok {
			f.applyExchange(message)
			writeResponse(w, f.exchangeResponse(message))
		}
	})
	mux.HandleFunc("POST "+watchPath, f.serveWatch)
	mux.HandleFunc("POST "+noticePath, f.serveNotice)
	return mux
}

// exchangeResponse returns the response to a peer: the entries and the configuration
// that the peer lacks.
func (f *Feed) exchangeResponse(message exchangeMessage) exchangeMessage {
	proofAge := f.config.servedProofAge() // before the version that it covers
	response := exchangeMessage{Version: f.Holder.Version(), Checksum: f.Members.Checksum(), ProofAge: proofAge}
	if response.Checksum != message.Checksum {
		response.Entries = f.Members.View().Entries
	}
	if f.rollouts != nil {
		response.Rollouts = f.rollouts.cache.all()
	}
	if snapshot := f.Holder.Current(); snapshot != nil && snapshot.Version > message.Version {
		packed, err := qhwire.Pack(snapshot.Config)
		if err != nil {
			f.Log.Error("cannot pack configuration for peer", zap.Error(err))
			return response
		}
		response.Version, response.Config = snapshot.Version, packed
	}
	return response
}

// applyExchange merges the entries and applies the configuration that a peer sent.
func (f *Feed) applyExchange(message exchangeMessage) {
	for _, entry := range f.Members.Merge(message.Entries) {
		f.Log.Info("member updated by peer", zap.String("member", string(entry.Node)), zap.String("state", string(entry.State)))
	}
	f.refreshMembers()
	if f.rollouts != nil && len(message.Rollouts) > 0 {
		f.OnRollouts(message.Rollouts, false, false)
	}
	if len(message.Config) == 0 {
		return
	}
	config, err := qhwire.Unpack[qhconfig.Config](message.Config)
	if err == nil {
		_, err = f.Holder.ApplyWithoutDigest(message.Version, config)
	}
	if err != nil {
		f.Log.Error("cannot apply configuration from peer", zap.Uint64("version", uint64(message.Version)), zap.Error(err))
	}
}

// exchangeWithPeers exchanges with random peers while the store is unreachable.
func (f *Feed) exchangeWithPeers(ctx context.Context) {
	for qhgroup.Sleep(ctx, exchangeInterval/2+rand.N(exchangeInterval)) {
		if f.StoreReachable() {
			continue
		}
		if address, ok := f.pickPeer(); ok {
			f.exchange(ctx, address)
		}
	}
}

// pickPeer returns the address of a random known node or, until an exchange has
// succeeded, of a random known node or seed. It returns false if there is none.
func (f *Feed) pickPeer() (qhid.Address, bool) {
	self := f.Members.Self()
	var addresses []qhid.Address
	for _, entry := range f.Members.View().Entries {
		if entry.Node != self.Node {
			addresses = append(addresses, entry.PeerAddress)
		}
	}
	if len(addresses) == 0 || !f.peerResponded.Load() {
		addresses = append(addresses, f.seedAddresses(self.PeerAddress)...)
	}
	if len(addresses) == 0 {
		return "", false
	}
	return addresses[rand.IntN(len(addresses))], true
}

// seedAddresses returns the peer addresses of the seeds, without this node's. All
// nodes use the same port for peers.
func (f *Feed) seedAddresses(own qhid.Address) []qhid.Address {
	host, port, err := net.SplitHostPort(string(own))
	if err != nil {
		return nil // the settings have been validated
	}
	var addresses []qhid.Address
	for _, seed := range f.Seeds() {
		if other, _, err := net.SplitHostPort(string(seed)); err == nil && other != host {
			addresses = append(addresses, qhid.Address(net.JoinHostPort(other, port)))
		}
	}
	return addresses
}

// exchange sends this node's state to one peer and applies its response.
func (f *Feed) exchange(ctx context.Context, address qhid.Address) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	askedAt := f.Proof.Now()
	message := exchangeMessage{Version: f.Holder.Version(), Checksum: f.Members.Checksum(), Entries: []qhmember.Entry{f.Members.Self()}}
	response, err := post[exchangeMessage](ctx, f.PeerClient, address, exchangePath, message)
	if err != nil {
		f.Log.Info("exchange with peer failed", zap.String("address", string(address)), zap.Error(err))
		return
	}
	start, before := time.Now(), f.Holder.Version()
	f.applyExchange(response)
	if version := f.Holder.Version(); version > before {
		f.recordArrival(string(address), version, 1, f.config.sinceResponse(), 0, time.Since(start))
	}
	if response.ProofAge != nil && *response.ProofAge >= 0 && f.Holder.Version() >= response.Version {
		f.Proof.Confirm(askedAt.Add(-*response.ProofAge))
	}
	f.peerResponded.Store(true)
	f.checkReady()
}
