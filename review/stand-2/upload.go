package main

import (
	"bytes"
	"sync"
	"time"
)

const (
	uploadConfig = `{"version":"00000007","limits":{"maxHeaderBytes":16384,"maxBodyBytes":1048576,"headerTimeoutS":3,"idleTimeoutS":15},` +
		`"listeners":[{"host":"charts.example","rules":[{"name":"r-charts","routeType":"upload","targetLatencyS":0.8,"priority":1,"match":{"pathPrefix":"/charts/"},"action":{"service":"chartstore","timeoutS":3,"attempts":2}}]}],` +
		`"clusters":[{"name":"chartstore","healthPath":"/healthz","maxConns":110,"protocol":"h1","tls":false}]}`
	uploadPath   = "/charts/part"
	poisonMark   = "POISON"
	uploadBytes  = 100_000
	uploadRounds = 14
	uploadGap    = 1500 * time.Millisecond
)

// upload returns a body of the given size that begins with the text.
func upload(text string, size int) []byte {
	return append([]byte(text), bytes.Repeat([]byte("."), size-len(text))...)
}

// crashingUpload: an upload crashes the servers that run it, and comes again, while others of
// the same path and length succeed.
func crashingUpload(root, record string, trouble bool) int {
	f, err := newFleet(root, record, []string{"pl-central-a", "pl-central-b", "pl-central-c"}, []string{"chartstore", "chartstore", "chartstore", "chartstore"})
	if err != nil {
		println(err.Error())
		return notRun
	}
	defer f.stop()
	for _, m := range f.machines {
		m.server.downTime, m.server.work = 2*time.Second, 130*time.Millisecond
		if trouble {
			m.server.poisonBody = poisonMark
		}
	}
	f.store.put("config", "main", uploadConfig)
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

	// reachedBy returns how many of the requests servers have run.
	reachedBy := func(requests map[string]bool) int {
		count := 0
		for _, m := range f.machines {
			for _, r := range m.server.taken() {
				if requests[r.id] {
					count++
				}
			}
		}
		return count
	}
	crashes := func() int {
		count := 0
		for _, m := range f.machines {
			m.server.mu.Lock()
			count += m.server.crashes
			m.server.mu.Unlock()
		}
		return count
	}
	// come sends the upload again and again, at one machine after the other, and returns how
	// many of the retries later than contactS after its third crash reached servers.
	come := func(size int) (late, reached int) {
		before, third := crashes(), time.Time{}
		all, retries := make(map[string]bool), make(map[string]bool)
		for i := range uploadRounds {
			sent := time.Now()
			r := f.machines[i%len(f.machines)].send("POST", "charts.example", uploadPath, time.Second, nil, upload(poisonMark, size))
			all[r.id] = true
			if !third.IsZero() && sent.After(third.Add(contactTime)) {
				retries[r.id] = true
			}
			time.Sleep(uploadGap)
			if third.IsZero() && crashes() >= before+3 {
				third = time.Now()
			}
		}
		return reachedBy(retries), reachedBy(all)
	}

	late, reached := come(uploadBytes - 1)
	f.say("alone of its length: %d of %d requests reached servers, %d of them later than contactS after the third crash", reached, uploadRounds, late)

	var done sync.WaitGroup
	stop, served, failed := make(chan struct{}), 0, make(map[string]bool)
	var mu sync.Mutex
	for _, m := range f.machines { // uploads of the same path and length with other bytes
		done.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(250 * time.Millisecond):
				}
				r := m.send("POST", "charts.example", uploadPath, time.Second, nil, upload("part of a chart", uploadBytes))
				mu.Lock()
				if r.status == 200 {
					served++
				} else {
					failed[r.id] = true
				}
				mu.Unlock()
			}
		})
	}
	time.Sleep(2 * time.Second)
	before := crashes()
	late, reached = come(uploadBytes)
	close(stop)
	done.Wait()
	f.say("among others of its length, of which %d were served: %d of %d requests reached servers and %d servers crashed; %d retries reached servers later than contactS after the third crash",
		served, reached, uploadRounds, crashes()-before, late)
	f.say("%d of the others were at work at a server and got no success", reachedBy(failed))
	switch {
	case served < 20 || !trouble && reached != uploadRounds:
		f.say("too few requests were served to judge")
		return notRun
	case late > allowedRetries:
		f.say("BUDGET is broken: %d retries reached servers, %d may", late, allowedRetries)
		return broken
	}
	f.say("BUDGET held")
	return held
}
