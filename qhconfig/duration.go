package qhconfig

import (
	"encoding/json"
	"time"

	"quetzalhaven.dev/qherr"
)

// MarshalJSON returns the duration as a string such as "1.5s".
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON parses a string such as "1.5s". Numbers are rejected because
// they have no unit. The error is of kind BadInput.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return qherr.New(qherr.BadInput, nil, `write it with its unit, as in "1.5s"`, "duration %s is not a string", data)
	}
	parsed, err := time.ParseDuration(text)
	if err != nil {
		return qherr.New(qherr.BadInput, nil, `write it with its unit, as in "1.5s"`, "duration %q is invalid", text)
	}
	*d = Duration(parsed)
	return nil
}

// String returns the duration in the form "1.5s".
func (d Duration) String() string { return time.Duration(d).String() }
