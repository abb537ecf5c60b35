package qhsite

import (
	"bufio"
	"context"
	"encoding/json"
	"os"
	"time"

	"quetzalhaven.dev/qhid"
)

// heldMessage is what a node logs when it puts a version in force.
const heldMessage = "configuration in force"

// Held is a version that a node put in force.
type Held struct {
	Version qhid.Version `json:"version"`
	// Before is the version that was in force before, 0 for none.
	Before qhid.Version `json:"before"`
	Time   time.Time    `json:"time"`
}

// Held returns the versions that the node put in force, in order, over all of
// its lives.
func (n *Node) Held() ([]Held, error) {
	file, err := os.Open(n.Log)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }() // it was only read
	var list []Held
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		var line struct {
			Held
			Msg string `json:"msg"`
		}
		if json.Unmarshal(lines.Bytes(), &line) == nil && line.Msg == heldMessage {
			list = append(list, line.Held)
		}
	}
	return list, lines.Err()
}

// InForce is when a version came in force at every node.
type InForce struct {
	// Times are since the start that was given, ordered as Site.Nodes.
	Times []time.Duration
}

// Last returns the time of the last node.
func (f InForce) Last() time.Duration {
	var last time.Duration
	for _, at := range f.Times {
		last = max(last, at)
	}
	return last
}

// WaitHeld waits until every running node holds the version or a later one and
// returns when each put one in force, since start. Frozen and ended nodes have
// to be left out by the caller.
func (s *Site) WaitHeld(ctx context.Context, version qhid.Version, start time.Time, nodes []*Node) (InForce, error) {
	var inForce InForce
	for _, node := range nodes {
		err := s.wait(ctx, func() (bool, error) {
			list, err := node.Held()
			if err != nil || len(list) == 0 || list[len(list)-1].Version < version {
				return false, err
			}
			for _, held := range list {
				if held.Version >= version && held.Time.After(start) {
					inForce.Times = append(inForce.Times, held.Time.Sub(start))
					return true, nil
				}
			}
			return false, nil
		})
		if err != nil {
			return inForce, err
		}
	}
	return inForce, nil
}
