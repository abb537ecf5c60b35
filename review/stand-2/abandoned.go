package main

import (
	"fmt"
	"net"
	"sync"
	"time"
)

const (
	stayingPath     = "/slots/poison/staying"
	leavingPath     = "/slots/poison/leaving"
	crashTime       = 300 * time.Millisecond
	leaveTime       = 100 * time.Millisecond
	abandonedRounds = 12
	abandonedGap    = 1500 * time.Millisecond
	// leavingRun is how many of these requests come in a row, within 5.5 s, and calmTime the time
	// until the next ones, in which nobody leaves.
	leavingRun = 3
	calmTime   = 4 * time.Second
)

// sendAndLeave sends a request to the node of a machine and closes the connection after
// leaveTime. It returns the id of the request.
func (m *machine) sendAndLeave(path string) string {
	id := fmt.Sprintf("r%06d", m.fleet.requests.Add(1))
	conn, err := net.Dial("tcp", m.address(portOutbound))
	if err != nil {
		return id
	}
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: booking.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 3000\r\nContent-Length: 7\r\n\r\nslot 17", path, id)
	time.Sleep(leaveTime)
	_ = conn.Close()
	m.fleet.note("node %d request %s %s: its caller leaves (%v)", m.index+1, id, path, err)
	return id
}

// crashingAbandoned: a request crashes the servers that run it, 0.3 s after they began, and
// comes again. Its caller leaves before.
func crashingAbandoned(root, record string, trouble bool) int {
	f, err := newFleet(root, record, []string{"kigali-a", "kigali-b", "kigali-c"}, []string{"booking", "booking", "booking", "booking"})
	if err != nil {
		println(err.Error())
		return notRun
	}
	defer f.stop()
	for _, m := range f.machines {
		m.server.poisonTime, m.server.downTime, m.server.work = crashTime, 2*time.Second, 130*time.Millisecond
		if trouble {
			m.server.poison = "/slots/poison/"
		}
	}
	f.store.put("config", "main", firstConfig)
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
	// come sends the request again and again, at one machine after the other, with a pause after
	// each leavingRun, and returns how many of the retries later than contactS after its third
	// crash reached servers.
	come := func(send func(m *machine) string) (late, reached int) {
		before, third := crashes(), time.Time{}
		all, retries := make(map[string]bool), make(map[string]bool)
		for i := range abandonedRounds {
			sent := time.Now()
			id := send(f.machines[i%len(f.machines)])
			all[id] = true
			if !third.IsZero() && sent.After(third.Add(contactTime)) {
				retries[id] = true
			}
			time.Sleep(time.Until(sent.Add(abandonedGap)))
			if i%leavingRun == leavingRun-1 {
				time.Sleep(calmTime)
			}
			if third.IsZero() && crashes() >= before+3 {
				third = time.Now()
			}
		}
		return reachedBy(retries), reachedBy(all)
	}

	var done sync.WaitGroup
	stop, served, failed := make(chan struct{}), 0, make(map[string]bool)
	var mu sync.Mutex
	for _, m := range f.machines { // requests that crash nothing, each with a path of its own
		done.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				case <-time.After(250 * time.Millisecond):
				}
				r := m.send("POST", "booking.example", fmt.Sprintf("/slots/%d/%d", m.index, i), 2*time.Second, nil, []byte("slot 18"))
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
	late, reached := come(func(m *machine) string {
		return m.send("POST", "booking.example", stayingPath, 3*time.Second, nil, []byte("slot 17")).id
	})
	f.say("its caller waits: %d of %d requests reached servers, %d of them later than contactS after the third crash", reached, abandonedRounds, late)
	before := crashes()
	late, reached = come(func(m *machine) string { return m.sendAndLeave(leavingPath) })
	close(stop)
	done.Wait()
	f.say("its caller leaves: %d of %d requests reached servers and %d servers crashed; %d retries reached servers later than contactS after the third crash",
		reached, abandonedRounds, crashes()-before, late)
	f.say("%d other requests were served, %d were at work at a server and got no success", served, reachedBy(failed))
	switch {
	case served < 100 || !trouble && reached != abandonedRounds:
		f.say("too few requests were served to judge")
		return notRun
	case late > allowedRetries:
		f.say("BUDGET is broken: %d retries reached servers, %d may", late, allowedRetries)
		return broken
	}
	f.say("BUDGET held")
	return held
}
