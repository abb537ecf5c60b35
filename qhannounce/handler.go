package qhannounce

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"quetzalhaven.dev/qherr"
	"quetzalhaven.dev/qhid"
)

// maxAnnouncementSize bounds the size of an announcement.
const maxAnnouncementSize qhid.Bytes = 16 << 10

// Handler returns the HTTP handler of the announce API: PUT and DELETE of
// /v1/targets/{id}, and GET of /v1/targets. An error response is one line of text
// with the remedy.
func (r *Registry) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /v1/targets/{id}", r.handlePut)
	mux.HandleFunc("DELETE /v1/targets/{id}", r.handleDelete)
	mux.HandleFunc("GET /v1/targets", r.handleList)
	return mux
}

func (r *Registry) handlePut(w http.ResponseWriter, req *http.Request) {
	announcement, err := decode(http.MaxBytesReader(w, req.Body, int64(maxAnnouncementSize)))
	if err == nil {
		err = r.Put(qhid.Target(req.PathValue("id")), announcement)
	}
	if err != nil {
		http.Error(w, err.Error(), statusOf(err))
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (r *Registry) handleDelete(w http.ResponseWriter, req *http.Request) {
	r.Remove(qhid.Target(req.PathValue("id")))
	w.WriteHeader(http.StatusNoContent)
}

func (r *Registry) handleList(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(r.List()) // a write error means that the client has gone
}

// decode decodes one announcement and refuses unknown keys and trailing data.
func decode(body io.Reader) (Announcement, error) {
	var announcement Announcement
	decoder := json.NewDecoder(body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&announcement); err != nil {
		return announcement, qherr.New(qherr.BadInput, err, "send one JSON object with service, address, slots, connections and state", "announcement is not valid")
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return announcement, qherr.New(qherr.BadInput, nil, "send one JSON object", "announcement has data after its end")
	}
	return announcement, nil
}

func statusOf(err error) int {
	switch qherr.KindOf(err) {
	case qherr.BadInput:
		return http.StatusBadRequest
	case qherr.Refused:
		return http.StatusConflict
	default:
		return http.StatusInternalServerError
	}
}
