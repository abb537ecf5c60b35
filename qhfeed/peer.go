package qhfeed

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"

	"quetzalhaven.dev/qherr"
	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhstream"
)

// NewPeerClient returns a client for requests to other nodes.
func NewPeerClient() *http.Client {
	dialer := &net.Dialer{Timeout: exchangeTimeout}
	return newPeerClient(dialer.DialContext)
}

func newPeerClient(dial qhstream.DialFunc) *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: qhstream.Dialer(dial), IdleConnTimeout: peerIdleTimeout, MaxIdleConnsPerHost: maxPeerConnections}}
}

// Ask sends a request to a handler that Answer answers for on another node. Errors are
// of kind Unavailable.
func Ask[Response, Request any](ctx context.Context, client *http.Client, to qhid.Address, path string, request Request) (Response, error) {
	return post[Response](ctx, client, to, path, request)
}

// Answer answers the request of another node that was sent by Ask.
func Answer[Request, Response any](w http.ResponseWriter, r *http.Request, answer func(Request) Response) {
	if request, ok := readRequest[Request](w, r, maxMessageSize); ok {
		writeResponse(w, answer(request))
	}
}

// errNotServing is the cause of an error if the other node responded that it cannot serve
// the request at the moment.
var errNotServing = errors.New("it does not serve watches, because the store does not respond to it") //nolint:gochecknoglobals // a sentinel error

// post sends a request to another node and returns its decoded response. Errors are
// of kind Conflict for status 409 and Unavailable if there is no usable response.
func post[Response any](ctx context.Context, client *http.Client, to qhid.Address, path string, request any) (Response, error) {
	var response Response
	body, err := json.Marshal(request)
	if err != nil {
		return response, qherr.New(qherr.Internal, err, "report this as a bug", "the request to another node cannot be encoded")
	}
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+string(to)+path, bytes.NewReader(body))
	if err != nil {
		return response, qherr.New(qherr.BadInput, err, "check the addresses that the node announces and the seeds in the settings", "the address of a node is not valid")
	}
	resp, err := client.Do(httpRequest)
	if err != nil {
		if errors.Is(err, context.DeadlineExceeded) {
			client.CloseIdleConnections() // they may be silent too
		}
		return response, qherr.New(qherr.Unavailable, err, "the node retries with another node or the store", "no response from the node")
	}
	defer func() { _ = resp.Body.Close() }() // the body has been read
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusNoContent:
		return response, nil
	case http.StatusServiceUnavailable:
		return response, qherr.New(qherr.Unavailable, errNotServing, "the node retries with another node or the store", "the node responded with status %d", resp.StatusCode)
	case http.StatusConflict:
		return response, qherr.New(qherr.Conflict, nil, "list again", "the reader does not have the history since that revision")
	default:
		return response, qherr.New(qherr.Unavailable, nil, "the node retries with another node or the store", "the node responded with status %d", resp.StatusCode)
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, int64(maxExchangeSize))).Decode(&response); err != nil {
		return response, qherr.New(qherr.Unavailable, err, "the node retries with another node or the store", "the node's response cannot be decoded")
	}
	return response, nil
}

// readRequest decodes the request of another node. If it cannot, it responds with
// status 400 and returns false.
func readRequest[Request any](w http.ResponseWriter, r *http.Request, maxSize qhid.Bytes) (Request, bool) {
	var request Request
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, int64(maxSize))).Decode(&request); err != nil {
		http.Error(w, "send one JSON object", http.StatusBadRequest)
		return request, false
	}
	return request, true
}

// writeResponse sends a JSON response. Errors are ignored, since the peer that
// would see them has gone.
func writeResponse[Response any](w http.ResponseWriter, response Response) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(response)
}
