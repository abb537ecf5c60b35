package qhplatform

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"quetzalhaven.dev/qherr"
)

// Call is a call to the object API.
type Call struct {
	Op Operation
	// Key is the key of the object, or the prefix of a list or of a watch of a
	// prefix.
	Key   Key
	Value []byte
	// Revision is the revision that an update or delete requires, or the one after
	// which a watch returns changes.
	Revision Revision
	// Wait is how long the platform is asked to hold a watch.
	Wait time.Duration
	// After is the last key of the previous page of a list; empty for the first
	// page.
	After Key
}

// Request is a call encoded as an HTTP request.
type Request struct {
	Method string
	// Path begins with a slash.
	Path   string
	Query  url.Values
	Header http.Header
	Body   []byte
}

// Codec encodes calls to the object API as HTTP requests and decodes the responses.
// It only translates: the client schedules and retries calls. The decoding
// functions return an error for responses that cannot be decoded.
type Codec struct {
	Encode func(call Call) Request
	// DecodeObject decodes the response to a get, watch or write of the object.
	DecodeObject func(key Key, body []byte) (Object, error)
	// DecodeListing decodes one page of a list.
	DecodeListing func(prefix Key, body []byte) (Listing, error)
	// DecodeChanges decodes the response to a watch of a prefix.
	DecodeChanges func(prefix Key, body []byte) (Changes, error)
	// DecodeEra returns the era of the store that the headers of a response name, or
	// 0 if they name none.
	DecodeEra func(header http.Header) (Era, error)
	// DecodeError returns the error for a response with a status other than 2xx, of
	// the kinds that Store documents.
	DecodeError func(call Call, status int, body []byte) error
}

// defaultCodec returns the codec for the HTTP API that NewHandler serves.
func defaultCodec() *Codec {
	return &Codec{
		Encode:        encodeCall,
		DecodeObject:  func(_ Key, body []byte) (Object, error) { return decodeJSON[Object](body) },
		DecodeListing: func(_ Key, body []byte) (Listing, error) { return decodeJSON[Listing](body) },
		DecodeChanges: func(_ Key, body []byte) (Changes, error) { return decodeJSON[Changes](body) },
		DecodeEra:     func(header http.Header) (Era, error) { return ParseEra(header.Get(headerEra)) },
		DecodeError:   decodeError,
	}
}

func encodeCall(call Call) Request {
	encoded := Request{Method: call.Op.method(), Path: objectsPath + "/" + string(call.Key), Query: url.Values{}, Header: http.Header{}, Body: call.Value}
	switch call.Op {
	case OpList:
		encoded.Path = objectsPath
		encoded.Query = url.Values{"prefix": {string(call.Key)}, "at": {"true"}}
	case OpWatchPrefix:
		encoded.Path = objectsPath
		encoded.Query = url.Values{"prefix": {string(call.Key)}}
		encoded.setWatch(call)
	case OpWatchObject:
		encoded.setWatch(call)
	case OpCreate:
		encoded.Header.Set("If-None-Match", "*")
	case OpStatus:
		encoded.Query = url.Values{"part": {"status"}}
		encoded.Header.Set("If-Match", fmt.Sprintf(`"%d"`, call.Revision))
	case OpUpdate, OpDelete:
		encoded.Header.Set("If-Match", fmt.Sprintf(`"%d"`, call.Revision))
	}
	return encoded
}

// ParseEra parses the era in a header of a response; an empty text is era 0. Errors
// are of kind BadInput.
func ParseEra(text string) (Era, error) {
	if text == "" {
		return 0, nil
	}
	era, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, qherr.New(qherr.BadInput, err, "send a whole number", "%q is not an era", text)
	}
	return Era(era), nil
}

func (r *Request) setWatch(call Call) {
	r.Query.Set("watch", strconv.FormatUint(uint64(call.Revision), 10))
	r.Query.Set("wait", call.Wait.String())
}

func (o Operation) method() string {
	switch o {
	case OpCreate, OpUpdate, OpStatus:
		return http.MethodPut
	case OpDelete:
		return http.MethodDelete
	default:
		return http.MethodGet
	}
}

// decodeError is Codec.DecodeError of the default codec. A status without an error
// body is left to StatusError.
func decodeError(call Call, status int, body []byte) error {
	if status == http.StatusNotModified && call.Op == OpWatchObject {
		return qherr.New(qherr.NotFound, nil, "watch it again", "object %s did not change", call.Key)
	}
	var failure errorBody
	if err := json.Unmarshal(body, &failure); err == nil && failure.hasKnownKind() {
		return qherr.New(failure.Kind, nil, failure.Remedy, "%s", failure.Message)
	}
	return StatusError(call, status)
}

// StatusError returns the error for a response whose status is the only
// information. A write that fails in this way may have taken effect.
func StatusError(call Call, status int) error {
	cause := fmt.Errorf("status %d without an error body", status)
	switch {
	case status == http.StatusTooManyRequests:
		return newRateLimitError()
	case call.Op.isWrite():
		return lostResponseError(cause, call.Op, call.Key)
	case status >= http.StatusInternalServerError:
		return qherr.New(qherr.Unavailable, cause, "try again", "the platform failed to process %s %s", call.Op, call.Key)
	default:
		return qherr.New(qherr.Internal, cause, "check the platform's URL", "the platform rejected %s %s", call.Op, call.Key)
	}
}

func decodeJSON[T any](body []byte) (T, error) {
	var value T
	err := json.Unmarshal(body, &value)
	return value, err
}
