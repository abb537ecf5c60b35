package qhsite

import (
	"context"
	"fmt"
	"strconv"
	"strings"

	"quetzalhaven.dev/qhid"
)

// Metrics of a node that the site reads, as written in the Prometheus text format.
const (
	metricVersion       = "qh_config_version"
	metricSentBytes     = `qh_wire_way_bytes_total{way="out"}`
	metricReceivedBytes = `qh_wire_way_bytes_total{way="in"}`
)

// ControlTraffic counts the bytes that a node exchanged with other nodes to
// distribute configuration and membership.
type ControlTraffic struct {
	Sent, Received qhid.Bytes
}

// Sub returns the control traffic after the earlier count before.
func (c ControlTraffic) Sub(before ControlTraffic) ControlTraffic {
	return ControlTraffic{Sent: c.Sent - before.Sent, Received: c.Received - before.Received}
}

// ControlTraffic returns the control traffic of the node since it started.
func (n *Node) ControlTraffic(ctx context.Context) (ControlTraffic, error) {
	values, err := n.metrics(ctx)
	return ControlTraffic{Sent: qhid.Bytes(values[metricSentBytes]), Received: qhid.Bytes(values[metricReceivedBytes])}, err
}

// Version returns the configuration version that is in force on the node.
func (n *Node) Version(ctx context.Context) (qhid.Version, error) {
	values, err := n.metrics(ctx)
	return qhid.Version(values[metricVersion]), err
}

// metrics returns the values of the node's metrics by name and labels, as written
// in the Prometheus text format.
func (n *Node) metrics(ctx context.Context) (map[string]float64, error) {
	text, err := n.OperatorGet(ctx, "/metrics")
	if err != nil {
		return nil, err
	}
	values := make(map[string]float64)
	for line := range strings.Lines(string(text)) {
		line = strings.TrimSpace(line)
		space := strings.LastIndexByte(line, ' ') // label values may contain spaces
		if space < 0 || strings.HasPrefix(line, "#") {
			continue
		}
		name, value := line[:space], line[space+1:]
		number, err := strconv.ParseFloat(value, 64)
		if err != nil {
			return nil, fmt.Errorf("metric %s of node %s has the invalid value %q", name, n.Settings.ID, value)
		}
		values[name] = number
	}
	return values, nil
}
