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

// DigestTrailer is the trailer with the SHA-256 digest of a chunked response
// body, in hex.
const DigestTrailer = "Answer-Digest"

// chunkSize is the maximum size of one write of a response body, in bytes.
const chunkSize = 32 << 10

// Echo is the response body of a call. It repeats the request.
type Echo struct {
	Target  qhid.Target  `json:"target"`
	Service qhid.Service `json:"service"`
	Zone    qhid.Zone    `json:"zone"`
	Request qhid.Request `json:"request"`
	Key     string       `json:"key,omitempty"`
	Method  string       `json:"method"`
	Path    string       `json:"path"`
	Query   string       `json:"query,omitempty"`
	// Body is the request body, as text.
	Body string `json:"body,omitempty"`
	// Digest is the SHA-256 digest of the request body as received, in hex.
	Digest qhid.Digest `json:"digest"`
	// Padding has Faults.PaddingBytes bytes.
	Padding string `json:"pad,omitempty"`
}

func (t *Target) echo(r *http.Request, execution Execution, body []byte) Echo {
	return Echo{
		Target:  t.ID,
		Service: t.Service,
		Zone:    t.Zone,
		Request: execution.Request,
		Key:     execution.Key,
		Method:  execution.Method,
		Path:    execution.Path,
		Query:   r.URL.RawQuery,
		Body:    string(body),
		Digest:  digest(body),
	}
}

func digest(data []byte) qhid.Digest {
	sum := sha256.Sum256(data)
	return qhid.Digest(hex.EncodeToString(sum[:]))
}

// writeResponse sends the echo with the faults that concern the response.
func (t *Target) writeResponse(w http.ResponseWriter, r *http.Request, faults Faults, echo Echo) {
	if err := sleep(r.Context(), time.Duration(faults.ResponseDelay)); err != nil {
		return
	}
	if faults.CloseConnection {
		panic(http.ErrAbortHandler)
	}
	if size := int(faults.PaddingBytes); size > 0 {
		echo.Padding = strings.Repeat("q", size)
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
	if faults.RateLimit > 0 {
		header.Set(qhheader.RateLimit, strconv.FormatFloat(float64(faults.RateLimit), 'f', -1, 64))
	}
	if faults.SayLeaving {
		header.Set(qhheader.Leaving, "1")
	}
	if faults.Chunked {
		header.Set("Trailer", DigestTrailer)
	} else {
		header.Set("Content-Length", strconv.Itoa(len(body)))
	}
	if faults.TruncateResponse {
		writeBody(w, body[:len(body)/2], true)
		panic(http.ErrAbortHandler)
	}
	writeBody(w, body, faults.Chunked)
	if faults.Chunked {
		header.Set(DigestTrailer, string(digest(body)))
	}
}

// writeBody writes the body in parts of chunkSize and flushes each part if
// flush is set.
func writeBody(w http.ResponseWriter, body []byte, flush bool) {
	for len(body) > 0 {
		size := min(chunkSize, len(body))
		if _, err := w.Write(body[:size]); err != nil {
			return
		}
		body = body[size:]
		if flush {
			_ = http.NewResponseController(w).Flush()
		}
	}
}
