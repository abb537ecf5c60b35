package qhsite

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"quetzalhaven.dev/qhplatform"
)

// SetFaults switches the faults of the platform's stand-in; the zero value
// switches all off.
func (s *Site) SetFaults(ctx context.Context, faults qhplatform.Faults) error {
	text, err := json.Marshal(faults)
	if err != nil {
		return err
	}
	answer, err := s.send(ctx, http.MethodPut, s.Platform+"/v1/faults", nil, string(text))
	if err == nil && answer.Status >= http.StatusBadRequest {
		err = fmt.Errorf("the stand-in refused the faults: %s", answer.Body)
	}
	return err
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
