package qhspread

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"

	"go.uber.org/zap"
	"pgregory.net/rapid"

	"quetzalhaven.dev/qhconfig"
	"quetzalhaven.dev/qherr"
	"quetzalhaven.dev/qhhold"
	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhsample"
	"quetzalhaven.dev/qhstatus"
	"quetzalhaven.dev/qhwire"
)

// drawVersions returns the configurations of versions 1 to n, and which of them
// are invalid.
func drawVersions(t *rapid.T) ([]qhconfig.Config, []bool) {
	n := rapid.IntRange(2, 8).Draw(t, "versions")
	configs, invalid := make([]qhconfig.Config, n), make([]bool, n)
	for i := range configs {
		configs[i] = qhsample.DrawConfig(t, fmt.Sprint("version ", i+1))
		invalid[i] = i > 0 && rapid.IntRange(0, 4).Draw(t, "bad") == 0
		if invalid[i] {
			configs[i].Routes = append(slices.Clone(configs[i].Routes), qhconfig.Route{Name: "zz", Prefix: "/zz", Shares: []qhconfig.Share{{Service: "absent", Percent: 100}}})
		}
	}
	return configs, invalid
}

// TestVersionNeverDecreases checks that neither the newest known version of a node
// nor the version in force decreases while nodes push, pull, lose messages and
// restart in random order.
func TestVersionNeverDecreases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		configs, invalid := drawVersions(t)
		nodes := make([]*versionStore, 4)
		for i := range nodes {
			nodes[i] = newSyncedStore(qhhold.New(qhhold.Options{}), zap.NewNop())
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			i := rapid.IntRange(0, len(nodes)-1).Draw(t, "node")
			node, peer := nodes[i], nodes[rapid.IntRange(0, len(nodes)-1).Draw(t, "peer")]
			known, _ := node.latest()
			inForce := node.holder.Current()
			switch rapid.IntRange(0, 4).Draw(t, "operation") {
			case 0: // any head from the platform, including old ones
				at := rapid.IntRange(0, len(configs)-1).Draw(t, "version")
				_, err := node.applyFull(qhid.Version(at+1), configs[at].Digest(), configs[at])
				expectNoError(t, err)
			case 1: // a diff pushed by a peer that may be wrong about the node's version
				diffs, _ := peer.diffsSince(qhid.Version(rapid.IntRange(0, len(configs)).Draw(t, "assumed version")))
				for _, diff := range diffs {
					if _, err := node.applyDiff(diff); err != nil && !qherr.Is(err, qherr.Conflict) {
						t.Fatal(err)
					}
				}
			case 2: // a pull
				response, err := peer.contentSince(known)
				expectNoError(t, err)
				_, err = node.apply(response)
				expectNoError(t, err)
				if newer, _ := peer.latest(); newer > known {
					known = newer
				}
			case 3: // a configuration that does not match its digest
				at := rapid.IntRange(0, len(configs)-1).Draw(t, "version")
				_, _ = node.applyFull(qhid.Version(at+1), "00", configs[at])
			case 4: // a restart without state
				nodes[i] = newSyncedStore(qhhold.New(qhhold.Options{}), zap.NewNop())
				continue
			}
			now, digest := node.latest()
			if now < known {
				t.Fatalf("version decreased to %d from %d", now, known)
			}
			if now > 0 && digest != configs[now-1].Digest() {
				t.Fatalf("version %d has different content", now)
			}
			checkHolder(t, node.holder, inForce, configs, invalid)
		}
	})
}

func checkHolder(t *rapid.T, holder *qhhold.Holder, before *qhhold.Snapshot, configs []qhconfig.Config, invalid []bool) {
	inForce := holder.Current()
	if inForce == nil {
		return
	}
	if before != nil && inForce.Version < before.Version {
		t.Fatalf("version in force decreased to %d from %d", inForce.Version, before.Version)
	}
	if invalid[inForce.Version-1] || inForce.Digest != configs[inForce.Version-1].Digest() {
		t.Fatalf("version %d is in force with different content or although it is invalid", inForce.Version)
	}
}

func expectNoError(t *rapid.T, err error) {
	if err != nil {
		t.Fatal(err)
	}
}

// TestRingReachesEachZoneOnce propagates entries between roots that have the
// links of rootLoop, some of which may be missing.
func TestRingReachesEachZoneOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zones := make([]qhid.Zone, rapid.IntRange(1, 26).Draw(t, "zones"))
		for i := range zones {
			zones[i] = qhid.Zone(fmt.Sprintf("zone-%02d", i))
		}
		links := make(map[qhid.Zone][]*neighbor)
		linksLost := rapid.IntRange(0, 3).Draw(t, "broken") == 0
		for i, from := range zones {
			for j, to := range zonesToLink(from, zones) {
				if linksLost && j > 0 && rapid.IntRange(0, 3).Draw(t, "lost") == 0 {
					continue
				}
				links[from] = append(links[from], &neighbor{zone: to})
				links[to] = append(links[to], &neighbor{zone: zones[i]})
			}
		}
		reached := make(map[qhid.Zone]int)
		var propagate func(at, until qhid.Zone)
		propagate = func(at, until qhid.Zone) {
			reached[at]++
			ring := ringNeighbors(at, links[at], until)
			for i, n := range ring {
				next := until
				if i+1 < len(ring) {
					next = ring[i+1].zone
				}
				propagate(n.zone, next)
			}
		}
		start := rapid.SampledFrom(zones).Draw(t, "start")
		propagate(start, start)
		for _, zone := range zones {
			if reached[zone] != 1 {
				t.Fatalf("%s reached %d times from %s", zone, reached[zone], start)
			}
		}
	})
}

func TestIsolatedNodeMarksNoPeerDown(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := reachability{
			Unresponsive:    rapid.IntRange(1, 800).Draw(t, "suspects"),
			Responding:      rapid.IntRange(0, maxComparedNodes).Draw(t, "responding"),
			Up:              rapid.IntRange(1, 800).Draw(t, "up"),
			Down:            rapid.IntRange(0, 800).Draw(t, "down"),
			RemoteReachable: rapid.Bool().Draw(t, "remote"),
		}
		alone := r.Responding == 0 && (r.Up > 2 || !r.RemoteReachable)
		if r.confirmsFailure() && (alone || r.Responding > 0 && r.Unresponsive > r.Responding || r.Down > r.Up) {
			t.Fatalf("%+v marks the suspect down", r)
		}
		r = reachability{Unresponsive: 1, Responding: 1, Up: rapid.IntRange(3, 800).Draw(t, "up")}
		if !r.confirmsFailure() {
			t.Fatalf("%+v does not mark the suspect down", r)
		}
	})
}

func TestSummaryAddsUp(t *testing.T) {
	part := qhstatus.Summary{Versions: []qhstatus.VersionCount{{Version: 2, Nodes: 3}, {Version: 3, Nodes: 1}}, RefusingNodes: 6}
	for i := range 6 {
		part.Refusals = append(part.Refusals, qhstatus.Refusal{Node: qhid.Node(fmt.Sprint(i)), Version: 3})
	}
	sum := sumSummaries([]qhstatus.Summary{part, part, {Versions: []qhstatus.VersionCount{{Version: 1, Nodes: 1}}}})
	want := []qhstatus.VersionCount{{Version: 1, Nodes: 1}, {Version: 2, Nodes: 6}, {Version: 3, Nodes: 2}}
	if !slices.Equal(sum.Versions, want) || sum.RefusingNodes != 12 || len(sum.Refusals) != qhstatus.MaxRefusals {
		t.Fatalf("%+v", sum)
	}
}

// BenchmarkChange measures a change of one service on a node by the size of the
// configuration: applying and verifying the diff, comparing full
// configurations, and the bytes of both on one link.
func BenchmarkChange(b *testing.B) {
	for _, services := range []int{33, 330, 3300} {
		base := qhsample.ConfigOfSize(services)
		changed := qhconfig.Config{Services: slices.Clone(base.Services), Routes: base.Routes}
		changed.Services[7].MaxQueue = 100
		configs := []qhconfig.Config{base, changed}
		digests := []qhid.Digest{base.Digest(), changed.Digest()}
		diffs := []qhconfig.Diff{qhconfig.Compare(changed, base), qhconfig.Compare(base, changed)}
		packed, _ := qhwire.Pack(base)
		b.Run(fmt.Sprintf("diff/%d", services), func(b *testing.B) {
			node := newSyncedStore(qhhold.New(qhhold.Options{}), zap.NewNop())
			_, _ = node.applyFull(1, digests[0], base)
			for i := range b.N {
				diff := diffs[(i+1)%2]
				diff.Base, diff.Next = qhid.Version(i+1), qhid.Version(i+2)
				if newer, err := node.applyDiff(diff); !newer || err != nil {
					b.Fatal(newer, err)
				}
			}
			b.ReportMetric(float64(frameSize(diffs[1])), "frame-B")
		})
		b.Run(fmt.Sprintf("whole/%d", services), func(b *testing.B) {
			node := newSyncedStore(qhhold.New(qhhold.Options{}), zap.NewNop())
			for i := range b.N {
				if newer, err := node.applyFull(qhid.Version(i+1), digests[i%2], configs[i%2]); !newer || err != nil {
					b.Fatal(newer, err)
				}
			}
			b.ReportMetric(float64(len(packed)), "packed-B")
		})
	}
}

func frameSize(diff qhconfig.Diff) int {
	data, _ := json.Marshal(diff)
	return len(data) + len(`{"jsonrpc":"2.0","method":"diff","params":}`) + 2
}
