package qhconfig

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"

	"quetzalhaven.dev/qherr"
)

// Decode decodes one JSON value and rejects unknown fields and trailing data. The
// errors are of kind BadInput.
func Decode[T any](data []byte) (T, error) {
	var value T
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&value); err != nil {
		var zero T
		return zero, decodeError(err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		var zero T
		return zero, qherr.New(qherr.BadInput, nil, "remove the data after the first value",
			"unexpected data after the value at byte %d", decoder.InputOffset())
	}
	return value, nil
}

func decodeError(err error) error {
	if qherr.KindOf(err) != qherr.Internal {
		return err
	}
	return qherr.New(qherr.BadInput, err, "correct or remove the part that it names", "the JSON cannot be decoded")
}
