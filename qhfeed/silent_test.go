package qhfeed

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhplatform"
)

// TestConfigIsInForceInTimeAfterAllConnectionsBecameSilent silences all connections to
// the store and between nodes again and again, each time right before a change.
func TestConfigIsInForceInTimeAfterAllConnectionsBecameSilent(t *testing.T) {
	const (
		limit  = 2 * time.Second
		nodes  = minReaders + 3
		rounds = 60
	)
	synctest.Test(t, func(t *testing.T) {
		RegisterTestingT(t)
		ctx, random := context.Background(), rand.New(rand.NewPCG(35, 1))
		fake := qhplatform.NewFake(qhplatform.FakeOptions{})
		store := fake.Store()
		revision, err := store.Create(ctx, configKey, encodeStoredConfig(1))
		Expect(err).NotTo(HaveOccurred())
		connections := newNetwork(random)
		defer connections.serve(storeHost, qhplatform.NewHandler(fake))()
		var zone testZone
		for i := range nodes {
			node := networkNode{id: qhid.Node(fmt.Sprint("n", i)), zone: "kigali-a", limit: limit}.start(connections)
			defer node.stop()
			node.announce(qhid.Target(fmt.Sprint("t", i)))
			zone.nodes = append(zone.nodes, node)
		}
		time.Sleep(10 * time.Second)
		for round := range rounds {
			version := qhid.Version(round + 2)
			connections.silence(1, func(string, string) bool { return true })
			time.Sleep(time.Duration(random.Int64N(int64(limit / 4))))
			revision, err = store.Update(ctx, configKey, encodeStoredConfig(version), revision)
			Expect(err).NotTo(HaveOccurred())
			time.Sleep(limit)
			Expect(zone.versions()).To(HaveEach(version), "%s after the change in round %d", limit, round)
			time.Sleep(time.Duration(random.Int64N(int64(2 * limit))))
		}
	})
}
