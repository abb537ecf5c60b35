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

// drawChain returns the configurations of versions 1 to n, and which are bad.
func drawChain(t *rapid.T) ([]qhconfig.Config, []bool) {
	n := rapid.IntRange(2, 8).Draw(t, "versions")
	configs, bad := make([]qhconfig.Config, n), make([]bool, n)
	for i := range configs {
		configs[i] = qhsample.DrawConfig(t, fmt.Sprint("version ", i+1))
		bad[i] = i > 0 && rapid.IntRange(0, 4).Draw(t, "bad") == 0
		if bad[i] {
			configs[i].Routes = append(slices.Clone(configs[i].Routes), qhconfig.Route{Name: "zz", Prefix: "/zz", Shares: []qhconfig.Share{{Service: "absent", Percent: 100}}})
		}
	}
	return configs, bad
}

// TestContentNeverGoesBack lets nodes push, pull, lose and restart in any order.
func TestContentNeverGoesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		configs, bad := drawChain(t)
		nodes := make([]*content, 4)
		for i := range nodes {
			nodes[i] = newContent(qhhold.New(qhhold.Options{}), zap.NewNop())
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			i := rapid.IntRange(0, len(nodes)-1).Draw(t, "node")
			node, peer := nodes[i], nodes[rapid.IntRange(0, len(nodes)-1).Draw(t, "peer")]
			known, _ := node.known()
			held := node.holder.Current()
			switch rapid.IntRange(0, 4).Draw(t, "act") {
			case 0: // any head from the platform, old ones too
				at := rapid.IntRange(0, len(configs)-1).Draw(t, "version")
				_, err := node.takeWhole(qhid.Version(at+1), configs[at].Digest(), configs[at])
				expectNil(t, err)
			case 1: // a diff that a peer pushes to whom it believes to be at its base
				diffs, _ := peer.since(qhid.Version(rapid.IntRange(0, len(configs)).Draw(t, "believed")))
				for _, diff := range diffs {
					if _, err := node.takeDiff(diff); err != nil && !qherr.Is(err, qherr.Conflict) {
						t.Fatal(err)
					}
				}
			case 2: // a pull
				answer, err := peer.answer(known)
				expectNil(t, err)
				_, err = node.take(answer)
				expectNil(t, err)
				if newer, _ := peer.known(); newer > known {
					known = newer
				}
			case 3: // content that is not that of its digest
				at := rapid.IntRange(0, len(configs)-1).Draw(t, "version")
				_, _ = node.takeWhole(qhid.Version(at+1), "00", configs[at])
			case 4: // a restart with empty memory
				nodes[i] = newContent(qhhold.New(qhhold.Options{}), zap.NewNop())
				continue
			}
			now, digest := node.known()
			if now < known {
				t.Fatalf("version %d after %d", now, known)
			}
			if now > 0 && digest != configs[now-1].Digest() {
				t.Fatalf("version %d has other content", now)
			}
			checkHeld(t, node.holder, held, configs, bad)
		}
	})
}

func checkHeld(t *rapid.T, holder *qhhold.Holder, before *qhhold.Snapshot, configs []qhconfig.Config, bad []bool) {
	held := holder.Current()
	if held == nil {
		return
	}
	if before != nil && held.Version < before.Version {
		t.Fatalf("version %d held after %d", held.Version, before.Version)
	}
	if bad[held.Version-1] || held.Digest != configs[held.Version-1].Digest() {
		t.Fatalf("version %d is held with the wrong content", held.Version)
	}
}

func expectNil(t *rapid.T, err error) {
	if err != nil {
		t.Fatal(err)
	}
}

// TestRingReachesEachZoneOnce passes entries between roots that have the links
// of rootLoop, of which some are lost.
func TestRingReachesEachZoneOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zones := make([]qhid.Zone, rapid.IntRange(1, 26).Draw(t, "zones"))
		for i := range zones {
			zones[i] = qhid.Zone(fmt.Sprintf("zone-%02d", i))
		}
		links := make(map[qhid.Zone][]*neighbor)
		broken := rapid.IntRange(0, 3).Draw(t, "broken") == 0
		for i, from := range zones {
			for j, to := range fingers(from, zones) {
				if broken && j > 0 && rapid.IntRange(0, 3).Draw(t, "lost") == 0 {
					continue
				}
				links[from] = append(links[from], &neighbor{zone: to})
				links[to] = append(links[to], &neighbor{zone: zones[i]})
			}
		}
		reached := make(map[qhid.Zone]int)
		var pass func(at, until qhid.Zone)
		pass = func(at, until qhid.Zone) {
			reached[at]++
			ring := ringOf(at, links[at], until)
			for i, n := range ring {
				next := until
				if i+1 < len(ring) {
					next = ring[i+1].zone
				}
				pass(n.zone, next)
			}
		}
		start := rapid.SampledFrom(zones).Draw(t, "start")
		pass(start, start)
		for _, zone := range zones {
			if reached[zone] != 1 {
				t.Fatalf("%s reached %d times from %s", zone, reached[zone], start)
			}
		}
	})
}

func TestNobodyConvictsWhomItCannotTellFromItself(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := evidence{
			Suspects: rapid.IntRange(1, 800).Draw(t, "suspects"),
			Heard:    rapid.IntRange(0, maxSample).Draw(t, "heard"),
			Known:    rapid.IntRange(1, 800).Draw(t, "known"),
			Down:     rapid.IntRange(0, 800).Draw(t, "down"),
			Abroad:   rapid.Bool().Draw(t, "abroad"),
		}
		alone := e.Heard == 0 && (e.Known > 2 || !e.Abroad)
		if e.convicts() && (alone || e.Heard > 0 && e.Suspects > e.Heard || e.Down > e.Known) {
			t.Fatalf("%+v convicts", e)
		}
		e = evidence{Suspects: 1, Heard: 1, Known: rapid.IntRange(3, 800).Draw(t, "known")}
		if !e.convicts() {
			t.Fatalf("%+v does not convict", e)
		}
	})
}

func TestSummaryAddsUp(t *testing.T) {
	part := qhstatus.Summary{Versions: []qhstatus.VersionCount{{Version: 2, Nodes: 3}, {Version: 3, Nodes: 1}}, RefusingNodes: 6}
	for i := range 6 {
		part.Refusals = append(part.Refusals, qhstatus.Refusal{Node: qhid.Node(fmt.Sprint(i)), Version: 3})
	}
	sum := addUp([]qhstatus.Summary{part, part, {Versions: []qhstatus.VersionCount{{Version: 1, Nodes: 1}}}})
	want := []qhstatus.VersionCount{{Version: 1, Nodes: 1}, {Version: 2, Nodes: 6}, {Version: 3, Nodes: 2}}
	if !slices.Equal(sum.Versions, want) || sum.RefusingNodes != 12 || len(sum.Refusals) != qhstatus.MaxRefusals {
		t.Fatalf("%+v", sum)
	}
}

// BenchmarkChange measures a change of one service on a node by the size of the
// configuration: the diff taken, checked and swapped; the whole compared; and the
// bytes of both on one link.
func BenchmarkChange(b *testing.B) {
	for _, services := range []int{33, 330, 3300} {
		base := qhsample.ConfigOfSize(services)
		changed := qhconfig.Config{Services: slices.Clone(base.Services), Routes: base.Routes}
		changed.Services[7].MaxQueue = 100
		configs := []qhconfig.Config{base, changed}
		digests := []qhid.Digest{base.Digest(), changed.Digest()}
		diffs := []qhconfig.Diff{qhconfig.Compare(changed, base), qhconfig.Compare(base, changed)}
		whole, _ := qhwire.Pack(base)
		b.Run(fmt.Sprintf("diff/%d", services), func(b *testing.B) {
			node := newContent(qhhold.New(qhhold.Options{}), zap.NewNop())
			_, _ = node.takeWhole(1, digests[0], base)
			for i := range b.N {
				diff := diffs[(i+1)%2]
				diff.Base, diff.Next = qhid.Version(i+1), qhid.Version(i+2)
				if newer, err := node.takeDiff(diff); !newer || err != nil {
					b.Fatal(newer, err)
				}
			}
			b.ReportMetric(float64(frameSize(diffs[1])), "frame-B")
		})
		b.Run(fmt.Sprintf("whole/%d", services), func(b *testing.B) {
			node := newContent(qhhold.New(qhhold.Options{}), zap.NewNop())
			for i := range b.N {
				if newer, err := node.takeWhole(qhid.Version(i+1), digests[i%2], configs[i%2]); !newer || err != nil {
					b.Fatal(newer, err)
				}
			}
			b.ReportMetric(float64(len(whole)), "packed-B")
		})
	}
}

func frameSize(diff qhconfig.Diff) int {
	data, _ := json.Marshal(diff)
	return len(data) + len(`{"jsonrpc":"2.0","method":"diff","params":}`) + 2
}
