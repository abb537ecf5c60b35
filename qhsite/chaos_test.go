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
	// seedVariable is the environment variable that adds a seed.
	seedVariable = "QHSITE_SEED"
	// steps is how many failures, repairs and changes one sequence has.
	steps = 24
	// stepPause is the time between two of them.
	stepPause = 300 * time.Millisecond
	// maxGone bounds the nodes that are killed or frozen at a time.
	maxGone = 4
)

// chaos does random steps to a fleet.
type chaos struct {
	*fleet
	random *rand.Rand
	// killed and frozen are the nodes that are gone.
	killed, frozen []*qhsite.Node
	// made are the plans whose confirm was answered with success, and open
	// those with any other answer.
	made, open []qhid.Plan
	plans      int
}

var _ = Describe("Random sequences of failures", func() {
	seeds := []uint64{1}
	if text := os.Getenv(seedVariable); text != "" {
		seed, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			panic(err)
		}
		seeds = []uint64{seed}
	}
	for _, seed := range seeds {
		It(fmt.Sprintf("break no promise, seed %d", seed), func(ctx SpecContext) {
			f := newServingFleet(ctx, taking, func(options *qhsite.Options) { options.Cuttable = true })
			c := &chaos{fleet: f, random: rand.New(rand.NewPCG(seed, seed))}
			impatient := certificates
			impatient.deadline = 2 * time.Second
			load := startLoad(ctx, f.Nodes, impatient)
			for range steps {
				c.step(ctx)
				time.Sleep(stepPause)
			}
			c.repair(ctx)
			c.settle(ctx)
			load.waitMore(someCalls)
			calls := load.end()
			runs, _ := f.records(ctx)
			expectWhole(calls)
			expectOnce(calls, runs)
		}, SpecTimeout(2*hang))
	}
})

// step does one random thing.
func (c *chaos) step(ctx context.Context) {
	GinkgoHelper()
	actions := []func(context.Context){c.kill, c.freeze, c.cut, c.silence, c.disturb, c.confirm, c.confirm, c.repair}
	actions[c.random.IntN(len(actions))](ctx)
}

func (c *chaos) say(format string, args ...any) {
	_, _ = fmt.Fprintf(GinkgoWriter, time.Now().UTC().Format("15:04:05.000")+" "+format+"\n", args...)
}

// pick returns a node that is not gone, or nil where enough are.
func (c *chaos) pick() *qhsite.Node {
	gone := append(append([]*qhsite.Node{}, c.killed...), c.frozen...)
	if len(gone) >= maxGone {
		return nil
	}
	left := c.others(gone...)
	return left[c.random.IntN(len(left))]
}

func (c *chaos) kill(context.Context) {
	GinkgoHelper()
	if node := c.pick(); node != nil {
		c.say("kill %s", node.Settings.ID)
		kill(node)
		c.killed = append(c.killed, node)
	}
}

func (c *chaos) freeze(context.Context) {
	GinkgoHelper()
	if node := c.pick(); node != nil {
		c.say("freeze %s", node.Settings.ID)
		Expect(node.Freeze()).To(Succeed())
		c.frozen = append(c.frozen, node)
	}
}

// way returns two ends of a random way.
func (c *chaos) way() (a, b qhid.Zone) {
	ends := append([]qhid.Zone{qhsite.PlatformZone}, c.Deployment.Zones...)
	c.random.Shuffle(len(ends), func(i, j int) { ends[i], ends[j] = ends[j], ends[i] })
	return ends[0], ends[1]
}

func (c *chaos) cut(context.Context) {
	a, b := c.way()
	c.say("cut %s from %s", a, b)
	c.Cut(a, b)
}

func (c *chaos) silence(context.Context) {
	a, b := c.way()
	c.say("silence %s and %s", a, b)
	c.Silence(a, b)
}

// disturb switches a fault of the platform on.
func (c *chaos) disturb(ctx context.Context) {
	GinkgoHelper()
	faults := []qhplatform.Faults{{Down: true}, {Hang: true}, {Delay: slow}, {LostResponses: 1, Prefix: "head"}, {LostResponses: qhplatform.AllCalls}, {SilentWatches: true}, {StaleBy: 1}}
	chosen := faults[c.random.IntN(len(faults))]
	c.say("platform %+v", chosen)
	Expect(c.SetFaults(ctx, chosen)).To(Succeed())
}

// repair ends all failures.
func (c *chaos) repair(ctx context.Context) {
	GinkgoHelper()
	c.say("repair all")
	Expect(c.SetFaults(ctx, qhplatform.Faults{})).To(Succeed())
	ends := append([]qhid.Zone{qhsite.PlatformZone}, c.Deployment.Zones...)
	for _, a := range ends {
		for _, b := range ends {
			c.Heal(a, b)
		}
	}
	for _, node := range c.frozen {
		Expect(node.Thaw()).To(Succeed())
	}
	restart(c.killed...)
	c.frozen, c.killed = nil, nil
}

// confirm plans a small change and confirms it, whatever comes of that.
func (c *chaos) confirm(ctx context.Context) {
	GinkgoHelper()
	c.plans++
	file := filepath.Join(c.Dir, "chaos.jsonc")
	text := fmt.Sprintf(`{"reason": "change %d", "intents": [{"do": "limit", "service": "booking", "queue": %d}]}`, c.plans, 100+c.plans)
	Expect(os.WriteFile(file, []byte(text), 0o600)).To(Succeed())
	plan, err := c.Plan(ctx, file)
	if err != nil {
		c.say("no plan: %v", err)
		return
	}
	result, err := c.Ctl(ctx, "confirm", string(plan))
	Expect(err).NotTo(HaveOccurred())
	c.say("confirm %s: status %d", plan, result.Status)
	if result.Status == qherr.StatusOK {
		c.made = append(c.made, plan)
		return
	}
	c.open = append(c.open, plan)
}

// settle confirms the open plans again, as an operator does, and waits until
// every node holds the newest version. Every plan that was said to be in effect
// has its version.
func (c *chaos) settle(ctx context.Context) {
	GinkgoHelper()
	for _, plan := range c.open {
		result, err := c.Ctl(ctx, "confirm", string(plan))
		Expect(err).NotTo(HaveOccurred())
		c.say("settle %s: status %d", plan, result.Status)
		Expect(result.Status).To(Or(Equal(qherr.StatusOK), Equal(qherr.StatusRefused), Equal(qherr.StatusUsage)), result.Err)
	}
	c.confirm(ctx)
	last := c.made[len(c.made)-1]
	for _, plan := range c.made {
		result, err := c.Done(ctx, "explain", string(plan))
		Expect(err).NotTo(HaveOccurred())
		Expect(result.Out).To(ContainSubstring("version"), string(plan))
	}
	Eventually(func(g Gomega) {
		result, err := c.Ctl(ctx, "status")
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(result.Status).To(Equal(qherr.StatusOK), result.Err)
		g.Expect(result.Out).To(ContainSubstring("on %d of %d nodes", len(c.Nodes), len(c.Nodes)), "after %s: %s", last, result.Out)
	}, patience).Should(Succeed())
	Expect(c.WaitMembers(ctx)).To(Succeed())
}
