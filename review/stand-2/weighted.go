package main

import "time"

const (
	splitConfig = `{"version":"00000007","limits":{"maxHeaderBytes":16384,"maxBodyBytes":1048576,"headerTimeoutS":3,"idleTimeoutS":15},` +
		`"listeners":[{"host":"advisor.example","rules":[{"name":"r-advice","routeType":"non_idempotent","targetLatencyS":0.6,"priority":1,"match":{"pathPrefix":"/advice/"},"action":{"weightedClusters":[{"service":"advisor","weight":1},{"service":"fitprofile","weight":1},{"service":"chartstore","weight":1}],"timeoutS":3,"attempts":2}}]}],` +
		`"clusters":[{"name":"advisor","healthPath":"/healthz","maxConns":110,"protocol":"h1","tls":false},{"name":"fitprofile","healthPath":"/healthz","maxConns":110,"protocol":"h1","tls":false},{"name":"chartstore","healthPath":"/healthz","maxConns":110,"protocol":"h1","tls":false}]}`
	advicePath   = "/advice/17"
	adviceRounds = 26
	adviceGap    = 2500 * time.Millisecond
)

// crashingSplit: a request crashes the servers that run it, and comes again, on a route that is
// split between three services.
func crashingSplit(root, record string, trouble bool) int {
	f, err := newFleet(root, record, []string{"pl-central-a", "pl-central-b", "pl-central-c"},
		[]string{"advisor", "advisor", "fitprofile", "fitprofile", "chartstore", "chartstore"})
	if err != nil {
		println(err.Error())
		return notRun
	}
	defer f.stop()
	for _, m := range f.machines {
		m.server.downTime = 2 * time.Second
		if trouble {
			m.server.poison = advicePath
		}
	}
	f.store.put("config", "main", splitConfig)
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

	ran := make(map[string]string) // the service that ran a request
	reached := func() int {
		for _, m := range f.machines {
			for _, r := range m.server.taken() {
				ran[r.id] = m.service
			}
		}
		return len(ran)
	}
	var third time.Time
	late := 0
	for i := range adviceRounds {
		sent := time.Now()
		r := f.machines[i%2].send("POST", "advisor.example", advicePath, time.Second, nil, []byte("height 171"))
		time.Sleep(100 * time.Millisecond)
		count := reached()
		if trouble && third.IsZero() && count >= 3 {
			third = time.Now()
		}
		if ran[r.id] != "" && !third.IsZero() && sent.After(third.Add(contactTime)) {
			late++
		}
		time.Sleep(time.Until(sent.Add(adviceGap)))
	}
	byService := make(map[string]int)
	for _, service := range ran {
		byService[service]++
	}
	f.say("%d of %d requests reached servers: %v; %d retries reached servers later than contactS after the third crash", len(ran), adviceRounds, byService, late)
	switch {
	case len(byService) < 3 || !trouble && len(ran) != adviceRounds:
		f.say("too few requests reached servers to judge")
		return notRun
	case late > allowedRetries:
		f.say("BUDGET is broken: %d retries reached servers, %d may", late, allowedRetries)
		return broken
	}
	f.say("BUDGET held")
	return held
}
