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

// Call is one call to the object API.
type Call struct {
	Op Operation
	// Key is that of the object, or the prefix of a list or of what is followed.
	Key   Key
	Value []byte
	// Revision is the revision that an update or delete asks for, and the one that a
	// watch goes on from.
	Revision Revision
	// Wait is how long the platform is asked to hold a watch.
	Wait time.Duration
	// After is the last key of the part of a list before.
	After Key
}

// Request is a call as an HTTP request.
type Request struct {
	Method string
	// Path begins with a slash.
	Path   string
	Query  url.Values
	Header http.Header
	Body   []byte
}

// Codec is one HTTP form of the object API. It only encodes and decodes: when
// calls are made and tried again is the client's. Errors of the decoding
// functions are answers that can't be read.
type Codec struct {
	Encode func(call Call) Request
	// DecodeObject reads the answer to a get, a watch or a write of key.
	DecodeObject func(key Key, body []byte) (Object, error)
	// DecodeListing reads one part of a list.
	DecodeListing func(prefix Key, body []byte) (Listing, error)
	DecodeChanges func(prefix Key, body []byte) (Changes, error)
	// DecodeError is the error for an answer without success, of the kinds that
	// Store has.
	DecodeError func(call Call, status int, body []byte) error
}

// ownWire is the form that Handler serves.
func ownWire() *Codec {
	return &Codec{
		Encode:        encodeOwn,
		DecodeObject:  func(_ Key, body []byte) (Object, error) { return decoded[Object](body) },
		DecodeListing: func(_ Key, body []byte) (Listing, error) { return decoded[Listing](body) },
		DecodeChanges: func(_ Key, body []byte) (Changes, error) { return decoded[Changes](body) },
		DecodeError:   refusal,
	}
}

func encodeOwn(call Call) Request {
	encoded := Request{Method: call.Op.method(), Path: objectsPath + "/" + string(call.Key), Query: url.Values{}, Header: http.Header{}, Body: call.Value}
	switch call.Op {
	case OpList:
		encoded.Path = objectsPath
		encoded.Query = url.Values{"prefix": {string(call.Key)}, "at": {"true"}}
	case OpFollow:
		encoded.Path = objectsPath
		encoded.Query = url.Values{"prefix": {string(call.Key)}}
		encoded.watch(call)
	case OpWatch:
		encoded.watch(call)
	case OpCreate:
		encoded.Header.Set("If-None-Match", "*")
	case OpUpdate, OpDelete:
		encoded.Header.Set("If-Match", fmt.Sprintf(`"%d"`, call.Revision))
	}
	return encoded
}

func (e *Request) watch(call Call) {
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

// refusal is the error of an answer that is not OK.
func refusal(call Call, status int, body []byte) error {
	if status == http.StatusNotModified && call.Op == OpWatch {
		return qherr.New(qherr.NotFound, nil, "watch it again", "object %s did not change", call.Key)
	}
	var told failure
	if err := json.Unmarshal(body, &told); err == nil && told.known() {
		return qherr.New(told.Kind, nil, told.Remedy, "%s", told.What)
	}
	return StatusError(call, status)
}

// StatusError is the error of an answer that says nothing but its status: a
// write may have taken effect.
func StatusError(call Call, status int) error {
	cause := fmt.Errorf("status %d without a reason", status)
	switch {
	case status == http.StatusTooManyRequests:
		return tooMany()
	case call.Op.writes():
		return lostAnswer(cause, call.Op, call.Key)
	case status >= http.StatusInternalServerError:
		return qherr.New(qherr.Unavailable, cause, "try again", "the platform did not answer %s %s", call.Op, call.Key)
	default:
		return qherr.New(qherr.Internal, cause, "check the platform's URL", "the platform did not take %s %s", call.Op, call.Key)
	}
}

// decoded is the value in the body of an answer.
func decoded[T any](body []byte) (T, error) {
	var value T
	err := json.Unmarshal(body, &value)
	return value, err
}
