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
func (reg *Registry) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /v1/targets/{id}", reg.handlePut)
	mux.HandleFunc("DELETE /v1/targets/{id}", reg.handleDelete)
	mux.HandleFunc("GET /v1/targets", reg.handleList)
	return mux
}

func (reg *Registry) handlePut(w http.ResponseWriter, r *http.Request) {
	announcement, err := decode(http.MaxBytesReader(w, r.Body, int64(maxAnnouncementSize)))
	if err == nil {
		err = reg.Put(qhid.Target(r.PathValue("id")), announcement)
	}
	if err != nil {
		http.Error(w, err.Error(), statusOf(err))
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (reg *Registry) handleDelete(w http.ResponseWriter, r *http.Request) {
	reg.Remove(qhid.Target(r.PathValue("id")))
	w.WriteHeader(http.StatusNoContent)
}

func (reg *Registry) handleList(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(reg.List()) // a write error means that the client has gone
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
