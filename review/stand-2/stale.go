package main

import (
	"cmp"
	"fmt"
	"os"
	"sync"
	"time"
)

const (
	configBound = 2 * time.Second // configS
	skewBound   = 5 * time.Second // maxSkewS
	// turnedAwayTime is how long the store turns machine 1 away, and changeDelay how long after
	// the begin of that the configuration changes.
	turnedAwayTime = 4 * time.Second
	changeDelay    = time.Second
	// staleTime is how long requests are sent after the change, and clientGap the time between
	// those of one machine.
	staleTime = 25 * time.Second
	clientGap = 50 * time.Millisecond
	// chartsHost is the host of a route that does not change. As callers send it in the header
	// Host, it has a port.
	chartsHost = "charts.example:8080"
)

// movedConfig returns a configuration with a route that goes to the service, and one of the host
// charts that does not change.
func movedConfig(version int, service, charts string) string {
	rule := func(name, prefix, service string) string {
		return fmt.Sprintf(`{"name":%q,"routeType":"idempotent","targetLatencyS":0.6,"priority":1,"match":{"pathPrefix":%q},"action":{"service":%q,"timeoutS":3,"attempts":2}}`, name, prefix, service)
	}
	return fmt.Sprintf(`{"version":"%08x","limits":{"maxHeaderBytes":16384,"maxBodyBytes":1048576,"headerTimeoutS":3,"idleTimeoutS":15},`, version) +
		`"listeners":[{"host":"advisor.example","rules":[` + rule("r-advice", "/advice/", service) + `]},{"host":"` + charts + `","rules":[` + rule("r-charts", "/charts/", "advisor") + `]}],` +
		`"clusters":[{"name":"advisor","healthPath":"/healthz","maxConns":110,"protocol":"h1","tls":false},{"name":"fitprofile","healthPath":"/healthz","maxConns":110,"protocol":"h1","tls":false}]}`
}

// staleConfig: the store turns one machine away for some seconds, in which a route moves to
// another service. With CHARTS_HOST=charts.example no host has a port.
func staleConfig(root, record string, trouble bool) int {
	charts := cmp.Or(os.Getenv("CHARTS_HOST"), chartsHost)
	f, err := newFleet(root, record, []string{"pl-central-a", "pl-central-b", "pl-central-c"}, []string{"advisor", "advisor", "fitprofile", "fitprofile"})
	if err != nil {
		println(err.Error())
		return notRun
	}
	defer f.stop()
	f.store.put("config", "main", movedConfig(7, "advisor", charts))
	for _, m := range f.machines {
		if err := m.startNode(false); err != nil {
			f.say("cannot start a node: %v", err)
			return notRun
		}
	}
	if !f.awaitReady(20 * time.Second) {
		f.say("the nodes are not ready")
		return notRun
	}
	time.Sleep(5 * time.Second) // all servers have checked in, and all machines are in touch
	for _, m := range f.machines {
		if m.send("GET", charts, "/charts/1", time.Second, nil, nil).status != 200 || m.send("GET", "advisor.example", "/advice/1", time.Second, nil, nil).status != 200 {
			f.say("machine %d does not serve both routes", m.index+1)
			return notRun
		}
	}
	f.say("all machines serve both routes of version 7")

	if trouble {
		f.store.setAway(0, true)
		f.note("the store turns machine 1 away")
	}
	time.Sleep(changeDelay)
	confirmed := f.store.put("config", "main", movedConfig(9, "fitprofile", charts))
	f.note("version 9 is confirmed, which moves the route from advisor to fitprofile")
	binding := confirmed.Add(configBound)
	var clients sync.WaitGroup
	sent := make([][]result, len(f.machines)) // by machine
	for i, m := range f.machines {
		clients.Go(func() {
			for ; time.Since(confirmed) < staleTime; time.Sleep(clientGap) {
				sent[i] = append(sent[i], m.send("GET", "advisor.example", "/advice/17", time.Second, nil, nil))
			}
		})
	}
	if trouble {
		time.Sleep(turnedAwayTime - changeDelay)
		f.store.setAway(0, false)
		f.note("the store serves machine 1 again")
		inTouch := time.Now().Add(contactTime)
		binding = binding.Add(skewBound)
		if inTouch.After(binding) {
			binding = inTouch
		}
	}
	clients.Wait()
	return f.judgeStale(sent, confirmed, binding)
}

// judgeStale counts the requests of each machine that the former service ran.
func (f *fleet) judgeStale(sent [][]result, confirmed, binding time.Time) int {
	service := make(map[string]string) // that ran a request
	for _, m := range f.machines {
		for _, r := range m.server.taken() {
			service[r.id] = m.service
		}
	}
	stale := 0
	for i, requests := range sent {
		late, former, last := 0, 0, time.Duration(0)
		for _, r := range requests {
			if service[r.id] == "advisor" {
				last = r.sent.Sub(confirmed)
			}
			if !r.sent.After(binding) {
				continue
			}
			late++
			if service[r.id] == "advisor" {
				former++
			}
		}
		f.say("machine %d: of %d requests sent later than %.1f s after the confirmation, in touch, the former service ran %d; the last one that it ran was sent %.1f s after it",
			i+1, late, binding.Sub(confirmed).Seconds(), former, last.Seconds())
		stale += former
		if late < 100 {
			f.say("too few requests to judge")
			return notRun
		}
	}
	if stale > 0 {
		f.say("CONFIG is broken")
		return broken
	}
	f.say("CONFIG held")
	return held
}
