package qhsite

import (
	"context"
	"encoding/json"

	"quetzalhaven.dev/qhplatform"
)

// SetPlatformFaults replaces the faults of the fake platform. The zero value turns
// all faults off.
func (s *Site) SetPlatformFaults(ctx context.Context, faults qhplatform.Faults) error {
	text, err := json.Marshal(faults)
	if err != nil {
		return err
	}
	return s.put(ctx, s.PlatformURL+"/v1/faults", string(text))
}

// PlatformCounts returns the counters of the fake platform's calls.
func (s *Site) PlatformCounts(ctx context.Context) (qhplatform.Counts, error) {
	var counts qhplatform.Counts
	text, err := s.get(ctx, s.PlatformURL+"/v1/counts")
	if err == nil {
		err = json.Unmarshal(text, &counts)
	}
	return counts, err
}
