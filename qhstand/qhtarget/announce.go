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
	// renewal is the period of announcements.
	renewal = time.Second
	// announceTimeout bounds one announcement.
	announceTimeout = time.Second
)

// Announcement is what a target tells the node of its VM.
type Announcement struct {
	Service     qhid.Service   `json:"service"`
	Address     qhid.Address   `json:"address"`
	Slots       int            `json:"slots"`
	Connections int            `json:"connections"`
	State       qhmember.State `json:"state"`
}

// Announcer renews the announcement of a target until it is stopped.
type Announcer struct {
	target  *Target
	address qhid.Address
	client  *http.Client
	stop    func()
}

// Announce announces the target at the address now and then once a second.
func (t *Target) Announce(ctx context.Context, address qhid.Address) *Announcer {
	a := &Announcer{target: t, address: address, client: &http.Client{Transport: &http.Transport{}}, stop: func() {}}
	if t.Node == "" {
		return a
	}
	group, stop := qhgroup.New(context.WithoutCancel(ctx))
	a.stop = stop
	group.Go(a.renew)
	return a
}

// renew announces the target once a period, and at once when its state was changed.
func (a *Announcer) renew(ctx context.Context) {
	ticker := time.NewTicker(renewal)
	defer ticker.Stop()
	for {
		if err := a.put(ctx); err != nil && ctx.Err() == nil {
			a.target.Log.Warn("the node did not take the announcement", zap.Error(err))
		}
		select {
		case <-ticker.C:
		case <-a.target.changed:
		case <-ctx.Done():
			return
		}
	}
}

func (a *Announcer) put(ctx context.Context) error {
	body, err := json.Marshal(Announcement{
		Service:     a.target.Service,
		Address:     a.address,
		Slots:       a.target.Slots,
		Connections: a.target.Connections,
		State:       a.target.state(),
	})
	if err != nil {
		return err
	}
	return a.send(ctx, http.MethodPut, body)
}

func (a *Announcer) send(ctx context.Context, method string, body []byte) error {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	path, err := url.JoinPath(a.target.Node, "v1", "targets", string(a.target.ID))
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, method, path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := a.client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode >= http.StatusMultipleChoices {
		return fmt.Errorf("status %s of %s %s", resp.Status, method, path)
	}
	return nil
}

// Withdraw ends the renewals, takes the announcement back and lingers for
// calls that are on their way.
func (a *Announcer) Withdraw(ctx context.Context) {
	a.stop()
	if a.target.Node == "" {
		return
	}
	if err := a.send(ctx, http.MethodDelete, nil); err != nil {
		a.target.Log.Warn("the node did not take the target back", zap.Error(err))
	}
	a.client.CloseIdleConnections()
	_ = sleep(ctx, a.target.Linger)
}
