package qhfeed

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"

	"quetzalhaven.dev/qherr"
	"quetzalhaven.dev/qhid"
)

func newPeerClient() *http.Client {
	dialer := &net.Dialer{Timeout: exchangeTimeout}
	return &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, IdleConnTimeout: peerIdle, MaxIdleConnsPerHost: peerConns}}
}

// post sends a question to another node and returns its answer. The error is of
// kind Conflict where the node answers with status 409, Unavailable where it has
// no answer.
func post[A any](ctx context.Context, client *http.Client, to qhid.Address, path string, question any) (A, error) {
	var answer A
	body, err := json.Marshal(question)
	if err != nil {
		return answer, qherr.New(qherr.Internal, err, "report this as a fault", "a question for another node can't be encoded")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+string(to)+path, bytes.NewReader(body))
	if err != nil {
		return answer, qherr.New(qherr.BadInput, err, "check the seeds", "no address of a node")
	}
	resp, err := client.Do(request)
	if err != nil {
		return answer, qherr.New(qherr.Unavailable, err, "another node or the store is asked", "no answer of a node")
	}
	defer func() { _ = resp.Body.Close() }() // it was read
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusNoContent:
		return answer, nil
	case http.StatusConflict:
		return answer, qherr.New(qherr.Conflict, nil, "list again", "the node does not know that history")
	default:
		return answer, qherr.New(qherr.Unavailable, nil, "another node or the store is asked", "the node answered with status %d", resp.StatusCode)
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, int64(maxExchange))).Decode(&answer); err != nil {
		return answer, qherr.New(qherr.Unavailable, err, "another node or the store is asked", "the answer of a node can't be read")
	}
	return answer, nil
}

// read reads the question of another node, or refuses it and returns false.
func read[Q any](w http.ResponseWriter, r *http.Request, bound qhid.Bytes) (Q, bool) {
	var question Q
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, int64(bound))).Decode(&question); err != nil {
		http.Error(w, "send one JSON object", http.StatusBadRequest)
		return question, false
	}
	return question, true
}

// reply answers a node; one that is gone needs no answer.
func reply[A any](w http.ResponseWriter, answer A) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer)
}
