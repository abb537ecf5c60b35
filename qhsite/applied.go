package qhsite

import (
	"bufio"
	"context"
	"encoding/json"
	"os"
	"time"

	"quetzalhaven.dev/qhid"
)

// appliedMessage is the log message of a node that puts a version in force. It
// must match the message that qhhold logs.
const appliedMessage = "configuration in force"

// AppliedVersion is a log entry of a node about a version that it put in force.
type AppliedVersion struct {
	Version qhid.Version `json:"version"`
	// Previous is the version that was in force before, 0 if none was.
	Previous qhid.Version `json:"before"`
	Time     time.Time    `json:"time"`
}

// AppliedVersions returns the versions that the node put in force, in order and
// across all restarts of the node. It reads them from the node's log.
func (n *Node) AppliedVersions() ([]AppliedVersion, error) {
	file, err := os.Open(n.LogPath)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }() // opened for reading only
	var versions []AppliedVersion
	scanner := bufio.NewScanner(file)
	for scanner.Scan() {
		var entry struct {
			AppliedVersion
			Msg string `json:"msg"`
		}
		if json.Unmarshal(scanner.Bytes(), &entry) == nil && entry.Msg == appliedMessage {
			versions = append(versions, entry.AppliedVersion)
		}
	}
	return versions, scanner.Err()
}

// ApplyTimes holds the times until a version was in force on each node.
type ApplyTimes struct {
	// PerNode has the time of each node that was waited for, in the order of the
	// nodes, measured from the given start.
	PerNode []time.Duration
}

// Max returns the time until the version was in force on all of the nodes.
func (t ApplyTimes) Max() time.Duration {
	var longest time.Duration
	for _, delay := range t.PerNode {
		longest = max(longest, delay)
	}
	return longest
}

// WaitVersion waits until each of the nodes has put the version or a newer one in
// force after start, and returns the time from start until each node did. The
// nodes must be running: it waits for paused and exited nodes until ctx is done.
func (s *Site) WaitVersion(ctx context.Context, version qhid.Version, start time.Time, nodes []*Node) (ApplyTimes, error) {
	var times ApplyTimes
	for _, node := range nodes {
		err := s.waitUntil(ctx, func() (bool, error) {
			versions, err := node.AppliedVersions()
			if err != nil || len(versions) == 0 || versions[len(versions)-1].Version < version {
				return false, err
			}
			for _, applied := range versions {
				if applied.Version >= version && applied.Time.After(start) {
					times.PerNode = append(times.PerNode, applied.Time.Sub(start))
					return true, nil
				}
			}
			return false, nil
		})
		if err != nil {
			return times, err
		}
	}
	return times, nil
}
