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
	// Key is the key of the object, or the prefix of a list or follow.
	Key   Key
	Value []byte
	// Revision is the revision that an update or delete requires, or the one after
	// which a watch or follow returns changes.
	Revision Revision
	// Wait is how long the platform is asked to hold a watch or follow.
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
// The client decides when calls are made and retried. The decoding functions return
// an error for responses that cannot be decoded.
type Codec struct {
	Encode func(call Call) Request
	// DecodeObject decodes the response to a get, a watch or a write of key.
	DecodeObject func(key Key, body []byte) (Object, error)
	// DecodeListing decodes one page of a list.
	DecodeListing func(prefix Key, body []byte) (Listing, error)
	DecodeChanges func(prefix Key, body []byte) (Changes, error)
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
	case OpUpdate, OpDelete:
		encoded.Header.Set("If-Match", fmt.Sprintf(`"%d"`, call.Revision))
	}
	return encoded
}

func (e *Request) setWatch(call Call) {
	e.Query.Set("watch", strconv.FormatUint(uint64(call.Revision), 10))
	e.Query.Set("wait", call.Wait.String())
}

func (o Operation) method() string {
	switch o {
	case OpCreate, OpUpdate:
		return http.MethodPut
	case OpDelete:
		return http.MethodDelete
	default:
		return http.MethodGet
	}
}

// decodeError returns the error of a response with a status other than 2xx.
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

// StatusError returns the error for a response that has no information but its
// status. A write may have taken effect then.
func StatusError(call Call, status int) error {
	cause := fmt.Errorf("status %d without an error body", status)
	switch {
	case status == http.StatusTooManyRequests:
		return rateLimited()
	case call.Op.isWrite():
		return lostResponseError(cause, call.Op, call.Key)
	case status >= http.StatusInternalServerError:
		return qherr.New(qherr.Unavailable, cause, "try again", "the platform failed to answer %s %s", call.Op, call.Key)
	default:
		return qherr.New(qherr.Internal, cause, "check the platform's URL", "the platform rejected %s %s", call.Op, call.Key)
	}
}

// decodeJSON decodes the body of a response.
func decodeJSON[T any](body []byte) (T, error) {
	var value T
	err := json.Unmarshal(body, &value)
	return value, err
}
