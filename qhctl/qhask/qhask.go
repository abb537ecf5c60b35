// Package qhask is a client of the operator API of a node.
package qhask

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strings"

	"quetzalhaven.dev/qhcrash"
	"quetzalhaven.dev/qherr"
	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhmember"
	"quetzalhaven.dev/qhoperate"
	"quetzalhaven.dev/qhstatus"
	"quetzalhaven.dev/qhstream"
)

// maxResponseBytes limits how much of a response is read.
const maxResponseBytes qhid.Bytes = 256 << 20

// Client is a client of the operator API of one node.
type Client struct {
	address qhid.Address
	client  *http.Client
}

// New returns a client for the operator API at the address, and a function that
// closes its idle connections. The error is of kind BadInput.
func New(address qhid.Address) (*Client, func(), error) {
	if _, err := netip.ParseAddrPort(string(address)); err != nil {
		return nil, nil, qherr.New(qherr.BadInput, nil, "write an IP address and a port, such as 10.0.0.4:7105",
			"%q is not the address of an operator API", string(address))
	}
	transport := &http.Transport{DialContext: qhstream.Dialer((&net.Dialer{}).DialContext), DisableCompression: true}
	return &Client{address: address, client: &http.Client{Transport: transport}}, transport.CloseIdleConnections, nil
}

// Address returns the address of the operator API.
func (c *Client) Address() qhid.Address { return c.address }

// Dump returns the full state of the node as JSON.
func (c *Client) Dump(ctx context.Context) (json.RawMessage, error) {
	return get[json.RawMessage](ctx, c, "/dump", nil)
}

// State returns the description of the node and its configuration.
func (c *Client) State(ctx context.Context) (State, error) { return get[State](ctx, c, "/dump", nil) }

// Summary returns on how many nodes each version is in force, counted over the
// node and all nodes below it in the distribution tree.
func (c *Client) Summary(ctx context.Context) (qhstatus.Summary, error) {
	return get[qhstatus.Summary](ctx, c, "/status", nil)
}

// Members returns the members that the node knows, ordered by id.
func (c *Client) Members(ctx context.Context) ([]qhmember.Entry, error) {
	return get[[]qhmember.Entry](ctx, c, "/members", nil)
}

// Decisions returns the node's decisions about a call, oldest first.
func (c *Client) Decisions(ctx context.Context, request qhid.Request) ([]Decision, error) {
	return get[[]Decision](ctx, c, "/explain", url.Values{"request": {string(request)}})
}

// Reach returns how many nodes and targets a change of the services affects, by
// availability zone.
func (c *Client) Reach(ctx context.Context, services []qhid.Service) (qhoperate.AffectedCounts, error) {
	query := make(url.Values)
	for _, service := range services {
		query.Add("service", string(service))
	}
	return get[qhoperate.AffectedCounts](ctx, c, "/reach", query)
}

// Rollouts returns the roll-outs that the node knows, ordered by service.
func (c *Client) Rollouts(ctx context.Context) ([]qhoperate.RolloutView, error) {
	return get[[]qhoperate.RolloutView](ctx, c, "/rollouts", nil)
}

// Tenants returns the tenants that the node knows, ordered by name.
func (c *Client) Tenants(ctx context.Context) (qhoperate.TenantsView, error) {
	return get[qhoperate.TenantsView](ctx, c, "/tenants", nil)
}

// Crashes returns the verdicts on the requests under which targets ended, as the node
// knows them, ordered by fingerprint.
func (c *Client) Crashes(ctx context.Context) ([]qhcrash.Verdict, error) {
	return get[[]qhcrash.Verdict](ctx, c, "/crashes", nil)
}

// Release ends the quarantine of a request. The error is of kind NotFound if the node
// does not know the request.
func (c *Client) Release(ctx context.Context, fingerprint qhcrash.Fingerprint) error {
	_, err := send[json.RawMessage](ctx, c, http.MethodPost, "/release", url.Values{"request": {string(fingerprint)}})
	return err
}

// get requests the path and decodes the JSON response. Unknown fields are ignored,
// since the node may run another release. The error is of kind Unavailable if the node does
// not respond as expected.
func get[T any](ctx context.Context, c *Client, path string, query url.Values) (T, error) {
	return send[T](ctx, c, http.MethodGet, path, query)
}

// send is get with another method. The response may have no content.
func send[T any](ctx context.Context, c *Client, method, path string, query url.Values) (T, error) {
	var value T
	address := url.URL{Scheme: "http", Host: string(c.address), Path: path, RawQuery: query.Encode()}
	request, err := http.NewRequestWithContext(ctx, method, address.String(), nil)
	if err != nil {
		return value, qherr.New(qherr.BadInput, err, "check the address", "cannot create a request to node %s", c.address)
	}
	response, err := c.client.Do(request)
	if err != nil {
		return value, c.unavailableError(err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, int64(maxResponseBytes)))
	if err != nil {
		return value, c.unavailableError(err)
	}
	if response.StatusCode == http.StatusNoContent {
		return value, nil
	}
	if response.StatusCode == http.StatusNotFound && method == http.MethodPost {
		return value, qherr.New(qherr.NotFound, nil, "list them with qhctl crashes", "node %s: %s", c.address, strings.TrimSpace(string(body)))
	}
	if response.StatusCode != http.StatusOK {
		return value, qherr.New(qherr.Unavailable, nil, "check that it is the address of an operator API",
			"node %s responded with %s to %s: %s", c.address, response.Status, path, strings.TrimSpace(string(body)))
	}
	if err := json.Unmarshal(body, &value); err != nil {
		return value, qherr.New(qherr.Unavailable, err, "check that it is the address of an operator API",
			"the response of node %s cannot be decoded", c.address)
	}
	return value, nil
}

func (c *Client) unavailableError(err error) error {
	return qherr.New(qherr.Unavailable, err, "check that it is running, or use another one with --node", "node %s does not respond", c.address)
}
