// Package qhask asks a node's operators' API.
package qhask

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strings"

	"quetzalhaven.dev/qherr"
	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhmember"
	"quetzalhaven.dev/qhoperate"
	"quetzalhaven.dev/qhstatus"
)

// maxResponseBytes bounds what is read of an answer.
const maxResponseBytes qhid.Bytes = 256 << 20

// Client is a node as operators reach it.
type Client struct {
	address qhid.Address
	client  *http.Client
}

// New returns the node at the address of its operators' API, and its clean-up.
// The error is of kind BadInput.
func New(address qhid.Address) (*Client, func(), error) {
	if _, err := netip.ParseAddrPort(string(address)); err != nil {
		return nil, nil, qherr.New(qherr.BadInput, nil, "write an IP number and a port, such as 10.0.0.4:7105",
			"%q is no address of a node's operators' API", string(address))
	}
	transport := &http.Transport{DisableCompression: true}
	return &Client{address: address, client: &http.Client{Transport: transport}}, transport.CloseIdleConnections, nil
}

// Address returns the node's address.
func (c *Client) Address() qhid.Address { return c.address }

// Dump returns the node's state as it sends it.
func (c *Client) Dump(ctx context.Context) (json.RawMessage, error) {
	return get[json.RawMessage](ctx, c, "/dump", nil)
}

// State returns the part of the node's state that tells what it holds and why.
func (c *Client) State(ctx context.Context) (State, error) { return get[State](ctx, c, "/dump", nil) }

// Summary returns the versions of the node and of all below it.
func (c *Client) Summary(ctx context.Context) (qhstatus.Summary, error) {
	return get[qhstatus.Summary](ctx, c, "/status", nil)
}

// Members returns the nodes that the node knows, ordered by id.
func (c *Client) Members(ctx context.Context) ([]qhmember.Entry, error) {
	return get[[]qhmember.Entry](ctx, c, "/members", nil)
}

// Decisions returns what the node decided about a call, oldest first, as it
// sends it.
func (c *Client) Decisions(ctx context.Context, request qhid.Request) ([]Decision, error) {
	return get[[]Decision](ctx, c, "/explain", url.Values{"request": {string(request)}})
}

// Reach returns where a change of services will be felt.
func (c *Client) Reach(ctx context.Context, services []qhid.Service) (qhoperate.Reach, error) {
	query := make(url.Values)
	for _, service := range services {
		query.Add("service", string(service))
	}
	return get[qhoperate.Reach](ctx, c, "/reach", query)
}

// get asks for one value. Fields that this release does not know are left out.
func get[T any](ctx context.Context, n *Client, path string, query url.Values) (T, error) {
	var value T
	address := url.URL{Scheme: "http", Host: string(n.address), Path: path, RawQuery: query.Encode()}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address.String(), nil)
	if err != nil {
		return value, qherr.New(qherr.BadInput, err, "check the address", "node %s can't be asked", n.address)
	}
	response, err := n.client.Do(request)
	if err != nil {
		return value, n.unavailableError(err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, int64(maxResponseBytes)))
	if err != nil {
		return value, n.unavailableError(err)
	}
	if response.StatusCode != http.StatusOK {
		return value, qherr.New(qherr.Unavailable, nil, "check that it is the address of a node's operators' API",
			"node %s answers %s to %s: %s", n.address, response.Status, path, strings.TrimSpace(string(body)))
	}
	if err := json.Unmarshal(body, &value); err != nil {
		return value, qherr.New(qherr.Unavailable, err, "check that it is the address of a node's operators' API",
			"the answer of node %s can't be read", n.address)
	}
	return value, nil
}

func (c *Client) unavailableError(err error) error {
	return qherr.New(qherr.Unavailable, err, "check that it runs, or name another one with --node", "node %s does not answer", c.address)
}
