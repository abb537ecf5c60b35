package qhsite

import (
	"context"
	"encoding/json"

	"quetzalhaven.dev/qhplatform"
)

// SetFaults switches the faults of the platform's stand-in; the zero value
// switches all off.
func (s *Site) SetFaults(ctx context.Context, faults qhplatform.Faults) error {
	text, err := json.Marshal(faults)
	if err != nil {
		return err
	}
	return s.put(ctx, s.Platform+"/v1/faults", string(text))
}

// Counts returns what the platform's stand-in was asked.
func (s *Site) Counts(ctx context.Context) (qhplatform.Counts, error) {
	var counts qhplatform.Counts
	text, err := s.get(ctx, s.Platform+"/v1/counts")
	if err == nil {
		err = json.Unmarshal(text, &counts)
	}
	return counts, err
}
