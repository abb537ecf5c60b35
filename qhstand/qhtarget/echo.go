package qhtarget

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"quetzalhaven.dev/qhheader"
	"quetzalhaven.dev/qhid"
)

// DigestTrailer carries the digest of a chunked answer's body.
const DigestTrailer = "Answer-Digest"

// chunk is the size of one chunk of an answer.
const chunk = 32 << 10

// Echo is the answer to a call.
type Echo struct {
	Target  qhid.Target  `json:"target"`
	Service qhid.Service `json:"service"`
	Zone    qhid.Zone    `json:"zone"`
	Request qhid.Request `json:"request"`
	Key     string       `json:"key,omitempty"`
	Method  string       `json:"method"`
	Path    string       `json:"path"`
	Query   string       `json:"query,omitempty"`
	// Body is the body of the call, as text.
	Body string `json:"body,omitempty"`
	// Digest is that of the body of the call as it arrived.
	Digest qhid.Digest `json:"digest"`
	// Pad fills the answer to the size that the faults ask for.
	Pad string `json:"pad,omitempty"`
}

func (t *Target) echo(r *http.Request, run Run, body []byte) Echo {
	return Echo{
		Target:  t.ID,
		Service: t.Service,
		Zone:    t.Zone,
		Request: run.Request,
		Key:     run.Key,
		Method:  run.Method,
		Path:    run.Path,
		Query:   r.URL.RawQuery,
		Body:    string(body),
		Digest:  digest(body),
	}
}

func digest(data []byte) qhid.Digest {
	sum := sha256.Sum256(data)
	return qhid.Digest(hex.EncodeToString(sum[:]))
}

// answerCall sends the echo as the faults say.
func (t *Target) answerCall(w http.ResponseWriter, r *http.Request, faults Faults, echo Echo) {
	if err := sleep(r.Context(), time.Duration(faults.Late)); err != nil {
		return
	}
	if faults.Cut {
		panic(http.ErrAbortHandler)
	}
	if size := int(faults.Size); size > 0 {
		echo.Pad = strings.Repeat("q", size)
	}
	body, err := json.Marshal(echo)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	body = append(body, '\n')
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set(qhheader.RequestID, string(echo.Request))
	if faults.Chunked {
		header.Set("Trailer", DigestTrailer)
	} else {
		header.Set("Content-Length", strconv.Itoa(len(body)))
	}
	if faults.Broken {
		send(w, body[:len(body)/2], true)
		panic(http.ErrAbortHandler)
	}
	send(w, body, faults.Chunked)
	if faults.Chunked {
		header.Set(DigestTrailer, string(digest(body)))
	}
}

// send writes the body, each chunk for itself where flush is set.
func send(w http.ResponseWriter, body []byte, flush bool) {
	for len(body) > 0 {
		size := min(chunk, len(body))
		if _, err := w.Write(body[:size]); err != nil {
			return
		}
		body = body[size:]
		if flush {
			_ = http.NewResponseController(w).Flush()
		}
	}
}
