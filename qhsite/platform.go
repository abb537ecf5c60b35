package qhsite

import (
	"context"
	"encoding/json"

	"quetzalhaven.dev/qhplatform"
)

// SetFaults replaces the faults of the fake platform. The zero value turns all
// faults off.
func (s *Site) SetFaults(ctx context.Context, faults qhplatform.Faults) error {
	text, err := json.Marshal(faults)
	if err != nil {
		return err
	}
	return s.put(ctx, s.PlatformURL+"/v1/faults", string(text))
}

// Counts returns the counts of the calls to the fake platform.
func (s *Site) Counts(ctx context.Context) (qhplatform.Counts, error) {
	var counts qhplatform.Counts
	text, err := s.get(ctx, s.PlatformURL+"/v1/counts")
	if err == nil {
		err = json.Unmarshal(text, &counts)
	}
	return counts, err
}
