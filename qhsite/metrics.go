package qhsite

import (
	"context"
	"fmt"
	"strconv"
	"strings"

	"quetzalhaven.dev/qhid"
)

// The metrics of a node that the site reads.
const (
	metricVersion = "qh_config_version"
	metricSent    = `qh_wire_way_bytes_total{way="out"}`
	metricTaken   = `qh_wire_way_bytes_total{way="in"}`
)

// Control is what a node sent to and took from other nodes to distribute
// configuration and membership.
type Control struct {
	Sent, Taken qhid.Bytes
}

// Sub returns the control bytes since before.
func (c Control) Sub(before Control) Control {
	return Control{Sent: c.Sent - before.Sent, Taken: c.Taken - before.Taken}
}

// Control returns the control bytes of the node since it started.
func (n *Node) Control(ctx context.Context) (Control, error) {
	values, err := n.metrics(ctx)
	return Control{Sent: qhid.Bytes(values[metricSent]), Taken: qhid.Bytes(values[metricTaken])}, err
}

// Version returns the configuration version that the node holds.
func (n *Node) Version(ctx context.Context) (qhid.Version, error) {
	values, err := n.metrics(ctx)
	return qhid.Version(values[metricVersion]), err
}

// metrics returns the node's metrics by their names with labels.
func (n *Node) metrics(ctx context.Context) (map[string]float64, error) {
	text, err := n.Ask(ctx, "/metrics")
	if err != nil {
		return nil, err
	}
	values := make(map[string]float64)
	for line := range strings.Lines(string(text)) {
		line = strings.TrimSpace(line)
		at := strings.LastIndexByte(line, ' ') // labels may hold spaces
		if at < 0 || strings.HasPrefix(line, "#") {
			continue
		}
		name, value := line[:at], line[at+1:]
		number, err := strconv.ParseFloat(value, 64)
		if err != nil {
			return nil, fmt.Errorf("metric %s of %s has the value %q", name, n.Settings.ID, value)
		}
		values[name] = number
	}
	return values, nil
}
