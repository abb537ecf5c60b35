package qhwire

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// Metric labels for frames without a method name: responses and heartbeats.
const (
	kindResponse  Kind = "answer"
	kindHeartbeat Kind = "beat"
)

// direction is the direction of a frame from this node's point of view.
type direction string

const (
	directionIn  direction = "in"
	directionOut direction = "out"
)

// trafficCounter counts the bytes and frames of all links of a node, by
// direction and kind.
type trafficCounter struct {
	set *metrics.Set
}

func (c *trafficCounter) add(dir direction, kind Kind, size int) {
	c.set.GetOrCreateCounter(fmt.Sprintf(`qh_wire_bytes_total{way=%q,kind=%q}`, dir, kind)).Add(size)
	c.set.GetOrCreateCounter(fmt.Sprintf(`qh_wire_frames_total{way=%q,kind=%q}`, dir, kind)).Inc()
	c.set.GetOrCreateCounter(fmt.Sprintf(`qh_wire_way_bytes_total{way=%q}`, dir)).Add(size)
}
