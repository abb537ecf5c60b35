package main

import (
	"sync"
	"syscall"
	"time"
)

const (
	// allowedRetries is how many retries may reach servers after the third crash.
	allowedRetries = 3
	poisonPath     = "/slots/poison"
	poisonGap      = 700 * time.Millisecond
	poisonRounds   = 8
)

// forgottenCrashes: a request crashes the servers that run it, and comes again, at two machines
// at a time. Later than contactS after its third crash all nodes are killed at the same moment.
func forgottenCrashes(root, record string, trouble bool) int {
	f, err := newFleet(root, record, []string{"kigali-a", "kigali-b", "kigali-c"}, []string{"booking", "booking", "booking", "booking"})
	if err != nil {
		println(err.Error())
		return notRun
	}
	defer f.stop()
	for _, m := range f.machines {
		m.server.poison, m.server.downTime = poisonPath, 2*time.Second
	}
	f.store.put("config", "main", firstConfig)
	startAll := func() bool {
		for _, m := range f.machines {
			if err := m.startNode(false); err != nil {
				f.say("cannot start a node: %v", err)
				return false
			}
		}
		return f.awaitReady(20 * time.Second)
	}
	if !startAll() {
		f.say("the nodes are not ready")
		return notRun
	}
	time.Sleep(5 * time.Second) // all servers have checked in, and all machines are in touch
	served := 0
	for _, m := range f.machines {
		if m.send("POST", "booking.example", "/slots/1", 3*time.Second, nil, nil).status == 200 {
			served++
		}
	}
	if served != len(f.machines) {
		f.say("only %d machines serve", served)
		return notRun
	}
	reached := func() int {
		count := 0
		for _, m := range f.machines {
			for _, r := range m.server.taken() {
				if r.path == poisonPath {
					count++
				}
			}
		}
		return count
	}
	come := func(rounds int) { // the request comes again, at two machines at a time
		for i := range rounds {
			var pair sync.WaitGroup
			for _, m := range []*machine{f.machines[2*i%len(f.machines)], f.machines[(2*i+1)%len(f.machines)]} {
				pair.Go(func() { m.send("POST", "booking.example", poisonPath, 3*time.Second, nil, []byte("slot 17")) })
			}
			pair.Wait()
			time.Sleep(poisonGap)
		}
	}
	come(poisonRounds)
	first := reached()
	f.say("the request reached servers %d times until it was refused", first)
	if first < 3 {
		f.say("it has not crashed servers three times")
		return notRun
	}
	time.Sleep(contactTime)
	if trouble {
		for _, m := range f.machines {
			m.signal(syscall.SIGKILL)
		}
		for _, m := range f.machines {
			<-m.exited
		}
		if !startAll() {
			f.say("the nodes are not ready again")
			return notRun
		}
	}
	time.Sleep(contactTime + 2*time.Second) // all machines are in touch again
	come(poisonRounds)
	total := reached() - first
	f.say("later than contactS after its third crash, sent by machines in touch, it reached servers in %d of %d retries", total, 2*poisonRounds)
	for _, m := range f.machines {
		f.note("server %d crashed %d times", m.index+1, m.server.crashes)
	}
	if total > allowedRetries {
		f.say("BUDGET is broken: %d retries reached servers, %d may", total, allowedRetries)
		return broken
	}
	f.say("BUDGET held: %d retries reached servers", total)
	return held
}
