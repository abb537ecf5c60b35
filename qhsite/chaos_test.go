package qhsite_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"quetzalhaven.dev/qherr"
	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhplatform"
	"quetzalhaven.dev/qhsite"
)

const (
	// seedEnv is the environment variable that overrides the seed.
	seedEnv = "QHSITE_SEED"
	// stepsPerSequence is the number of failures, repairs and configuration
	// changes in a sequence.
	stepsPerSequence = 24
	// stepPause is the time between two steps.
	stepPause = 300 * time.Millisecond
	// maxNodesDown is the maximum number of nodes that are killed or paused at a
	// time.
	maxNodesDown = 4
)

// chaos runs random failures, repairs and configuration changes on a fleet.
type chaos struct {
	*fleet
	random *rand.Rand
	// killed and paused are the nodes that are down.
	killed, paused []*qhsite.Node
	// confirmed are the plans that qhctl confirm reported as confirmed, pending
	// those for which it exited with another status.
	confirmed, pending []qhid.Plan
	planCount          int
}

var _ = Describe("Random sequences of failures", func() {
	seeds := []uint64{1}
	if text := os.Getenv(seedEnv); text != "" {
		seed, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			panic(err)
		}
		seeds = []uint64{seed}
	}
	for _, seed := range seeds {
		It(fmt.Sprintf("cause no duplicate execution and lose no confirmed change, seed %d", seed), func(ctx SpecContext) {
			f := newServingFleet(ctx, slowTargets, func(options *qhsite.Options) { options.Partitionable = true })
			c := &chaos{fleet: f, random: rand.New(rand.NewPCG(seed, seed))}
			withDeadline := certificates
			withDeadline.deadline = 2 * time.Second
			load := startLoad(ctx, f.Nodes, withDeadline)
			for range stepsPerSequence {
				c.step(ctx)
				time.Sleep(stepPause)
			}
			c.repairAll(ctx)
			c.confirmPending(ctx)
			load.waitCalls(callsPerPhase)
			calls := load.finish()
			executions, _ := f.executions(ctx)
			expectIntactResponses(calls)
			expectAtMostOnce(calls, executions)
		}, SpecTimeout(2*specTimeout))
	}
})

// step runs one random action.
func (c *chaos) step(ctx context.Context) {
	GinkgoHelper()
	actions := []func(context.Context){c.kill, c.pause, c.partition, c.blackhole, c.injectPlatformFault, c.confirmChange, c.confirmChange, c.repairAll}
	actions[c.random.IntN(len(actions))](ctx)
}

// logf writes a line with a timestamp to the output of the test.
func (c *chaos) logf(format string, args ...any) {
	_, _ = fmt.Fprintf(GinkgoWriter, time.Now().UTC().Format("15:04:05.000")+" "+format+"\n", args...)
}

// pickRunning returns a random running node, or nil if maxNodesDown nodes are
// down.
func (c *chaos) pickRunning() *qhsite.Node {
	down := append(append([]*qhsite.Node{}, c.killed...), c.paused...)
	if len(down) >= maxNodesDown {
		return nil
	}
	running := c.except(down...)
	return running[c.random.IntN(len(running))]
}

func (c *chaos) kill(context.Context) {
	GinkgoHelper()
	if node := c.pickRunning(); node != nil {
		c.logf("kill %s", node.Settings.ID)
		kill(node)
		c.killed = append(c.killed, node)
	}
}

func (c *chaos) pause(context.Context) {
	GinkgoHelper()
	if node := c.pickRunning(); node != nil {
		c.logf("pause %s", node.Settings.ID)
		Expect(node.Pause()).To(Succeed())
		c.paused = append(c.paused, node)
	}
}

// randomZonePair returns two different zones, of which one may be the platform.
func (c *chaos) randomZonePair() (a, b qhid.Zone) {
	zones := append([]qhid.Zone{qhsite.PlatformZone}, c.Deployment.Zones...)
	c.random.Shuffle(len(zones), func(i, j int) { zones[i], zones[j] = zones[j], zones[i] })
	return zones[0], zones[1]
}

func (c *chaos) partition(context.Context) {
	a, b := c.randomZonePair()
	c.logf("partition %s from %s", a, b)
	c.Partition(a, b)
}

func (c *chaos) blackhole(context.Context) {
	a, b := c.randomZonePair()
	c.logf("blackhole connections between %s and %s", a, b)
	c.Blackhole(a, b)
}

// injectPlatformFault turns on a random fault of the platform.
func (c *chaos) injectPlatformFault(ctx context.Context) {
	GinkgoHelper()
	faults := []qhplatform.Faults{{Down: true}, {Hang: true}, {Delay: platformDelay}, {LostResponses: 1, Prefix: "head"}, {LostResponses: qhplatform.AllCalls}, {SilentWatches: true}, {StaleBy: 1}}
	fault := faults[c.random.IntN(len(faults))]
	c.logf("platform faults %+v", fault)
	Expect(c.SetPlatformFaults(ctx, fault)).To(Succeed())
}

// repairAll ends all failures: it turns off the platform faults, heals the
// network, resumes paused nodes and restarts killed ones.
func (c *chaos) repairAll(ctx context.Context) {
	GinkgoHelper()
	c.logf("repair all")
	Expect(c.SetPlatformFaults(ctx, qhplatform.Faults{})).To(Succeed())
	zones := append([]qhid.Zone{qhsite.PlatformZone}, c.Deployment.Zones...)
	for _, a := range zones {
		for _, b := range zones {
			c.Heal(a, b)
		}
	}
	for _, node := range c.paused {
		Expect(node.Resume()).To(Succeed())
	}
	restart(c.killed...)
	c.paused, c.killed = nil, nil
}

// confirmChange plans and confirms a small change. Both may fail.
func (c *chaos) confirmChange(ctx context.Context) {
	GinkgoHelper()
	c.planCount++
	file := filepath.Join(c.Dir, "chaos.jsonc")
	text := fmt.Sprintf(`{"reason": "change %d", "intents": [{"do": "limit", "service": "booking", "queue": %d}]}`, c.planCount, 100+c.planCount)
	Expect(os.WriteFile(file, []byte(text), 0o600)).To(Succeed())
	plan, err := c.Plan(ctx, file)
	if err != nil {
		c.logf("plan failed: %v", err)
		return
	}
	result, err := c.Ctl(ctx, "confirm", string(plan))
	Expect(err).NotTo(HaveOccurred())
	c.logf("confirm plan %s: exit status %d", plan, result.Status)
	if result.Status == qherr.StatusOK {
		c.confirmed = append(c.confirmed, plan)
		return
	}
	c.pending = append(c.pending, plan)
}

// confirmPending confirms the pending plans again, as an operator does, and waits
// until every node has the newest version in force. It checks that every plan
// reported as confirmed has a version.
func (c *chaos) confirmPending(ctx context.Context) {
	GinkgoHelper()
	for _, plan := range c.pending {
		result, err := c.Ctl(ctx, "confirm", string(plan))
		Expect(err).NotTo(HaveOccurred())
		c.logf("confirm pending plan %s: exit status %d", plan, result.Status)
		Expect(result.Status).To(Or(Equal(qherr.StatusOK), Equal(qherr.StatusRefused), Equal(qherr.StatusUsage)), result.Stderr)
	}
	c.confirmChange(ctx)
	last := c.confirmed[len(c.confirmed)-1]
	for _, plan := range c.confirmed {
		result, err := c.CtlChecked(ctx, "explain", string(plan))
		Expect(err).NotTo(HaveOccurred())
		Expect(result.Stdout).To(ContainSubstring("version"), string(plan))
	}
	Eventually(func(g Gomega) {
		result, err := c.Ctl(ctx, "status")
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(result.Status).To(Equal(qherr.StatusOK), result.Stderr)
		g.Expect(result.Stdout).To(ContainSubstring("on %d of %d nodes", len(c.Nodes), len(c.Nodes)), "after %s: %s", last, result.Stdout)
	}, eventTimeout).Should(Succeed())
	Expect(c.WaitMembers(ctx)).To(Succeed())
}
