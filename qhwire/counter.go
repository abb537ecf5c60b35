package qhwire

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// kindAnswer counts answers of all kinds, kindBeat heartbeats.
const (
	kindAnswer Kind = "answer"
	kindBeat   Kind = "beat"
)

// direction is the way of a frame.
type direction string

const (
	directionIn  direction = "in"
	directionOut direction = "out"
)

// counter counts the bytes and frames of all links of a node by kind.
type counter struct {
	set *metrics.Set
}

func (c *counter) add(way direction, kind Kind, size int) {
	c.set.GetOrCreateCounter(fmt.Sprintf(`qh_wire_bytes_total{way=%q,kind=%q}`, way, kind)).Add(size)
	c.set.GetOrCreateCounter(fmt.Sprintf(`qh_wire_frames_total{way=%q,kind=%q}`, way, kind)).Inc()
	c.set.GetOrCreateCounter(fmt.Sprintf(`qh_wire_way_bytes_total{way=%q}`, way)).Add(size)
}
