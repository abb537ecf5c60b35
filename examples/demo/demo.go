package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"path/filepath"
	"strings"
	"time"

	"quetzalhaven.dev/qherr"
	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhsite"
)

const (
	// sampleCalls is how many calls show the shares of a route.
	sampleCalls = 200
	// settle is how long control bytes of a change are counted once it is in force.
	settle = 500 * time.Millisecond
	// idle is how long control bytes without a change are counted.
	idle = 3 * time.Second
)

// demo is one run.
type demo struct {
	site    *qhsite.Site
	out     io.Writer
	changes []change
	// crossed tells that a call was answered from another availability zone.
	crossed bool
}

// echo is what a target answers.
type echo struct {
	Target  qhid.Target  `json:"target"`
	Service qhid.Service `json:"service"`
	Zone    qhid.Zone    `json:"zone"`
}

func (d *demo) run(ctx context.Context) error {
	d.sayFleet()
	if err := d.site.WaitMembers(ctx); err != nil {
		return err
	}
	d.say("Every node knows all %d nodes and all %d targets.", len(d.site.Nodes), len(d.site.Targets))
	for i, step := range d.site.Deployment.Steps {
		if err := d.step(ctx, qhid.Version(i+1), step); err != nil {
			return err
		}
	}
	if !d.crossed {
		return qherr.New(qherr.Internal, nil, "see the dumps of the nodes", "no call was answered from another availability zone")
	}
	for _, args := range [][]string{{"history"}, {"status"}} {
		if _, err := d.ctl(ctx, args...); err != nil {
			return err
		}
	}
	return d.report(ctx)
}

// step makes one change and shows it by calls.
func (d *demo) step(ctx context.Context, version qhid.Version, step qhsite.Step) error {
	file := filepath.Join(d.site.Deployment.Dir, step.Intent)
	plan, err := d.ctl(ctx, "plan", "-f", file)
	if err != nil {
		return err
	}
	id, err := qhsite.PlanOf(plan)
	if err != nil {
		return err
	}
	if err := d.confirm(ctx, version, id); err != nil {
		return err
	}
	if err := d.call(ctx, d.site.Nodes[0], step); err != nil {
		return err
	}
	return d.sample(ctx, step)
}

// confirm puts the plan in force and notes what that took.
func (d *demo) confirm(ctx context.Context, version qhid.Version, plan qhid.Plan) error {
	before, err := controls(ctx, d.site)
	if err != nil {
		return err
	}
	start := time.Now()
	if _, err := d.ctl(ctx, "confirm", string(plan)); err != nil {
		return err
	}
	if _, err := d.ctl(ctx, "status", "--wait"); err != nil {
		return err
	}
	inForce, err := d.site.WaitHeld(ctx, version, start, d.site.Nodes)
	if err != nil {
		return err
	}
	time.Sleep(settle)
	after, err := controls(ctx, d.site)
	if err != nil {
		return err
	}
	d.changes = append(d.changes, newChange(version, time.Since(start), inForce, before, after))
	d.say("Version %d came in force on all %d nodes within %s of the start of confirm.", version, len(inForce.Times), round(inForce.Last()))
	return nil
}

// ctl runs qhctl, shows the command and its output, and returns the output.
func (d *demo) ctl(ctx context.Context, args ...string) (string, error) {
	d.say("\n$ qhctl %s", strings.Join(d.site.CtlArgs(args...), " "))
	result, err := d.site.Ctl(ctx, args...)
	if err != nil {
		return "", err
	}
	d.say("%s", strings.TrimRight(result.Out+result.Err, "\n"))
	if result.Status != qherr.StatusOK {
		return "", qherr.New(qherr.Internal, nil, "see its output", "qhctl %s ended with status %d", args[0], result.Status)
	}
	return result.Out, nil
}

// call sends one call and shows the answer.
func (d *demo) call(ctx context.Context, node *qhsite.Node, step qhsite.Step) error {
	d.say("\n$ curl -X %s http://%s%s  # node %s", step.Method, node.Settings.Listen.Callers, step.Path, node.Settings.ID)
	answer, err := node.Call(ctx, step.Method, step.Path, nil, "")
	if err != nil {
		return err
	}
	d.say("%d %s", answer.Status, strings.TrimSpace(answer.Body))
	if answer.Status != http.StatusOK {
		return qherr.New(qherr.Internal, nil, "see the answer", "the call failed")
	}
	return nil
}

// sample sends calls through every node in turn and shows which service and
// availability zone answered. The first answer from another availability zone
// of the run is shown whole.
func (d *demo) sample(ctx context.Context, step qhsite.Step) error {
	services := make(map[qhid.Service]int)
	other := 0
	for i := range sampleCalls {
		node := d.site.Nodes[i%len(d.site.Nodes)]
		answer, err := node.Call(ctx, step.Method, step.Path, nil, "")
		if err != nil {
			return err
		}
		if answer.Status != http.StatusOK {
			return qherr.New(qherr.Internal, nil, "see the answer", "call %d through %s failed: %d %s", i, node.Settings.ID, answer.Status, answer.Body)
		}
		var echo echo
		if err := json.Unmarshal([]byte(answer.Body), &echo); err != nil {
			return err
		}
		services[echo.Service]++
		if echo.Zone == node.Settings.Zone {
			continue
		}
		other++
		if !d.crossed {
			d.crossed = true
			d.say("Through %s of %s, target %s of %s answered: %s", node.Settings.ID, node.Settings.Zone, echo.Target, echo.Zone, strings.TrimSpace(answer.Body))
		}
	}
	d.say("%d calls of %s through all nodes: %s; %d of them answered by another availability zone.", sampleCalls, step.Path, counts(services), other)
	return nil
}

func (d *demo) sayFleet() {
	d.say("Deployment %s: the platform's stand-in at %s, %d nodes with a target each.", d.site.Deployment.Name, d.site.Platform, len(d.site.Nodes))
	for _, target := range d.site.Targets {
		settings := target.Node.Settings
		d.say("  node %-12s %-10s callers %-22s target %s", settings.ID, settings.Zone, settings.Listen.Callers, target.ID)
	}
}

func (d *demo) say(format string, args ...any) {
	_, _ = fmt.Fprintf(d.out, format+"\n", args...) // nobody reads any more
}
