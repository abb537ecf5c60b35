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
	// callsPerStep is the number of calls that show the traffic shares of a
	// route after each step.
	callsPerStep = 200
	// settleTime is how long the control bytes of a change are still counted
	// after it is in force on all nodes.
	settleTime = 500 * time.Millisecond
	// idleTime is how long control bytes are counted without a change.
	idleTime = 3 * time.Second
)

// demo is one run of a deployment's steps. Its output goes to out.
type demo struct {
	site    *qhsite.Site
	out     io.Writer
	changes []changeReport
	// crossZoneSeen is set once a target in another availability zone than the
	// node responded to a call.
	crossZoneSeen bool
}

// echo is the part of a test target's response that the demo needs.
type echo struct {
	Target  qhid.Target  `json:"target"`
	Service qhid.Service `json:"service"`
	Zone    qhid.Zone    `json:"zone"`
}

func (d *demo) run(ctx context.Context) error {
	d.printFleet()
	if err := d.site.WaitMembers(ctx); err != nil {
		return err
	}
	d.printf("Every node has discovered all %d nodes and all %d targets.", len(d.site.Nodes), len(d.site.Targets))
	for i, step := range d.site.Deployment.Steps {
		if err := d.runStep(ctx, qhid.Version(i+1), step); err != nil {
			return err
		}
	}
	if !d.crossZoneSeen {
		return qherr.New(qherr.Internal, nil, "see the dumps of the nodes", "no call was served by another availability zone")
	}
	for _, args := range [][]string{{"history"}, {"status"}} {
		if _, err := d.runCtl(ctx, args...); err != nil {
			return err
		}
	}
	return d.printReport(ctx)
}

// runStep plans and confirms one change and shows its effect by calls.
func (d *demo) runStep(ctx context.Context, version qhid.Version, step qhsite.Step) error {
	file := filepath.Join(d.site.Deployment.Dir, step.Intent)
	plan, err := d.runCtl(ctx, "plan", "-f", file)
	if err != nil {
		return err
	}
	id, err := qhsite.ParsePlanID(plan)
	if err != nil {
		return err
	}
	if err := d.confirm(ctx, version, id); err != nil {
		return err
	}
	if err := d.call(ctx, d.site.Nodes[0], step); err != nil {
		return err
	}
	return d.callAllNodes(ctx, step)
}

// confirm confirms the plan, waits until its version is in force on all nodes
// and records the convergence times and the control bytes.
func (d *demo) confirm(ctx context.Context, version qhid.Version, plan qhid.Plan) error {
	before, err := readControlTraffic(ctx, d.site)
	if err != nil {
		return err
	}
	start := time.Now()
	if _, err := d.runCtl(ctx, "confirm", string(plan)); err != nil {
		return err
	}
	if _, err := d.runCtl(ctx, "status", "--wait"); err != nil {
		return err
	}
	applyTimes, err := d.site.WaitVersion(ctx, version, start, d.site.Nodes)
	if err != nil {
		return err
	}
	time.Sleep(settleTime)
	after, err := readControlTraffic(ctx, d.site)
	if err != nil {
		return err
	}
	d.changes = append(d.changes, newChangeReport(version, time.Since(start), applyTimes, before, after))
	d.printf("Version %d was in force on all %d nodes within %s of the start of confirm.", version, len(applyTimes.PerNode), roundDuration(applyTimes.Max()))
	return nil
}

// runCtl runs qhctl, prints the command and its output, and returns the
// standard output. An exit status other than 0 is an error.
func (d *demo) runCtl(ctx context.Context, args ...string) (string, error) {
	d.printf("\n$ qhctl %s", strings.Join(d.site.CtlArgs(args...), " "))
	result, err := d.site.Ctl(ctx, args...)
	if err != nil {
		return "", err
	}
	d.printf("%s", strings.TrimRight(result.Stdout+result.Stderr, "\n"))
	if result.Status != qherr.StatusOK {
		return "", qherr.New(qherr.Internal, nil, "see its output", "qhctl %s exited with status %d", args[0], result.Status)
	}
	return result.Stdout, nil
}

// call sends one call and prints the response.
func (d *demo) call(ctx context.Context, node *qhsite.Node, step qhsite.Step) error {
	d.printf("\n$ curl -X %s http://%s%s  # node %s", step.Method, node.Settings.Listen.Callers, step.Path, node.Settings.ID)
	response, err := node.Call(ctx, step.Method, step.Path, nil, "")
	if err != nil {
		return err
	}
	d.printf("%d %s", response.Status, strings.TrimSpace(response.Body))
	if response.Status != http.StatusOK {
		return qherr.New(qherr.Internal, nil, "see the response", "the call failed")
	}
	return nil
}

// callAllNodes sends callsPerStep calls through all nodes in round-robin order
// and prints how many were served by each service and by another availability
// zone. The first response from another availability zone is printed in full.
func (d *demo) callAllNodes(ctx context.Context, step qhsite.Step) error {
	services := make(map[qhid.Service]int)
	otherZone := 0
	for i := range callsPerStep {
		node := d.site.Nodes[i%len(d.site.Nodes)]
		response, err := node.Call(ctx, step.Method, step.Path, nil, "")
		if err != nil {
			return err
		}
		if response.Status != http.StatusOK {
			return qherr.New(qherr.Internal, nil, "see the response", "call %d through %s failed: %d %s", i, node.Settings.ID, response.Status, response.Body)
		}
		var echo echo
		if err := json.Unmarshal([]byte(response.Body), &echo); err != nil {
			return err
		}
		services[echo.Service]++
		if echo.Zone == node.Settings.Zone {
			continue
		}
		otherZone++
		if !d.crossZoneSeen {
			d.crossZoneSeen = true
			d.printf("Call through node %s in %s was served by target %s in %s: %s", node.Settings.ID, node.Settings.Zone, echo.Target, echo.Zone, strings.TrimSpace(response.Body))
		}
	}
	d.printf("%d calls of %s through all nodes: %s; %d of them served by another availability zone.", callsPerStep, step.Path, formatCounts(services), otherZone)
	return nil
}

func (d *demo) printFleet() {
	d.printf("Deployment %s: fake platform at %s, %d nodes with one target each.", d.site.Deployment.Name, d.site.PlatformURL, len(d.site.Nodes))
	for _, target := range d.site.Targets {
		settings := target.Node.Settings
		d.printf("  node %-12s %-10s callers %-22s target %s", settings.ID, settings.Zone, settings.Listen.Callers, target.ID)
	}
}

func (d *demo) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(d.out, format+"\n", args...) // fails only if the reader of the output is gone
}
