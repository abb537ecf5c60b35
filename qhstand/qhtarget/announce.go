package qhtarget

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"go.uber.org/zap"

	"quetzalhaven.dev/qhgroup"
	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhmember"
)

const (
	// renewalPeriod is the interval between announcements.
	renewalPeriod = time.Second
	// announceTimeout bounds one request to the node's announce API.
	announceTimeout = time.Second
)

// AnnounceRequest is the body of the request that announces a target to the node on
// its VM.
type AnnounceRequest struct {
	Service        qhid.Service   `json:"service"`
	Address        qhid.Address   `json:"address"`
	Slots          int            `json:"slots"`
	MaxConnections int            `json:"connections"`
	State          qhmember.State `json:"state"`
	// StartedAt is when the target started, in milliseconds of the Unix epoch, and
	// Sequence orders the announcements since then.
	StartedAt int64         `json:"born"`
	Sequence  qhid.Sequence `json:"seq"`
}

// Announcer renews the announcement of a target until Withdraw is called.
type Announcer struct {
	target      *Target
	address     qhid.Address
	client      *http.Client
	stopRenewal func()
	startedAt   int64
	// sequence is that of the last announcement. Only renew uses it.
	sequence qhid.Sequence
}

// Announce announces the target with the address at once and then every
// renewalPeriod. If Options.Node is empty, it does nothing. The caller must call
// Withdraw.
func (t *Target) Announce(ctx context.Context, address qhid.Address) *Announcer {
	a := &Announcer{target: t, address: address, client: &http.Client{Transport: &http.Transport{}}, stopRenewal: func() {}, startedAt: time.Now().UnixMilli()}
	if t.Node == "" {
		return a
	}
	group, stop := qhgroup.New(context.WithoutCancel(ctx))
	a.stopRenewal = stop
	group.Go(a.renew)
	return a
}

// renew announces the target every renewalPeriod, and at once after a change of
// its state.
func (a *Announcer) renew(ctx context.Context) {
	ticker := time.NewTicker(renewalPeriod)
	defer ticker.Stop()
	for {
		if err := a.announce(ctx); err != nil && ctx.Err() == nil {
			a.target.Log.Warn("announcement failed", zap.Error(err))
		}
		select {
		case <-ticker.C:
		case <-a.target.stateChanged:
		case <-ctx.Done():
			return
		}
	}
}

func (a *Announcer) announce(ctx context.Context) error {
	a.sequence++
	body, err := json.Marshal(AnnounceRequest{
		StartedAt:      a.startedAt,
		Sequence:       a.sequence,
		Service:        a.target.Service,
		Address:        a.address,
		Slots:          a.target.Slots,
		MaxConnections: a.target.MaxConnections,
		State:          a.target.state(),
	})
	if err != nil {
		return err
	}
	return a.send(ctx, http.MethodPut, body)
}

func (a *Announcer) send(ctx context.Context, method string, body []byte) error {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	targetURL, err := url.JoinPath(a.target.Node, "v1", "targets", string(a.target.ID))
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, method, targetURL, bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := a.client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode >= http.StatusMultipleChoices {
		return fmt.Errorf("unexpected status %s of %s %s", resp.Status, method, targetURL)
	}
	return nil
}

// Withdraw stops the renewals, withdraws the announcement and then waits for
// ShutdownDelay or until ctx ends, since nodes may still send calls.
func (a *Announcer) Withdraw(ctx context.Context) {
	a.stopRenewal()
	if a.target.Node == "" {
		return
	}
	if err := a.send(ctx, http.MethodDelete, nil); err != nil {
		a.target.Log.Warn("withdrawal of the announcement failed", zap.Error(err))
	}
	a.client.CloseIdleConnections()
	_ = sleep(ctx, a.target.ShutdownDelay)
}
