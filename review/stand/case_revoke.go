package main

import (
	"fmt"
	"time"
)

// revokeCase takes the key of the only tenant away.
func revokeCase(w *world) verdict {
	w.setTenantBounds()
	w.addMachine("quito-a", "pledges")
	w.addMachine("quito-b", "pledges")
	routes := []route{{name: "pledge-charge", host: "pledges.example", prefix: "/pledge/", kind: "non_idempotent", service: "pledges", timeoutS: 3, targetS: 1, attempts: 2}}
	const key, neverHeld = "qnirth5mgjy5rcpihhac", "aaaaaaaaaaaaaaaaaaaa"
	w.store.put("config", "main", config("0000000c", routes, []map[string]any{{"name": "pulo780", "apiKeys": []string{key}, "priority": 1, "ratePerS": 0, "burst": 0}}, "pledges"))
	w.begin()

	send := func(key string) *request {
		return &request{method: "POST", host: "pledges.example", path: "/pledge/1", key: key, body: 100, budget: 3 * time.Second}
	}
	var before, after, unknown collector
	for i := range 6 {
		r := send(key)
		r.from = w.machines[i%2]
		before.send(w, r)
	}
	before.group.Wait()
	confirmed := time.Now()
	if w.trouble {
		confirmed = w.store.put("config", "main", config("0000000f", routes, []map[string]any{}, "pledges"))
	}
	time.Sleep(time.Until(confirmed.Add(7 * time.Second))) // revokeS, and 2 s
	for i := range 20 {
		r, u := send(key), send(neverHeld)
		r.from, u.from = w.machines[i%2], w.machines[i%2]
		after.send(w, r)
		unknown.send(w, u)
		time.Sleep(100 * time.Millisecond)
	}
	after.group.Wait()
	unknown.group.Wait()

	runs := w.runs()
	revokedRan, neverHeldRan, passedOn := 0, 0, 0
	for _, r := range after.list {
		for _, x := range runs[r.id] {
			revokedRan++
			if x.authorization != "" {
				passedOn++
			}
		}
	}
	for _, r := range unknown.list {
		neverHeldRan += len(runs[r.id])
	}
	for _, r := range before.list {
		if len(runs[r.id]) != 1 || runs[r.id][0].tenant != "pulo780" {
			panic("a request with a valid key did not run for its tenant before the change")
		}
	}
	broken := neverHeldRan > 0 || w.trouble && revokedRan > 0 || passedOn > 0
	return verdict{broken: broken, text: fmt.Sprintf("CONFIG: %d of %d requests ran whose key was taken away over 7 s before (revokeS 5) or, without trouble, is held; ROUTE: %d of %d ran whose key no configuration ever held; UNASKED: the key was passed on with %d",
		revokedRan, len(after.list), neverHeldRan, len(unknown.list), passedOn)}
}

// setTenantBounds sets the bounds of the page with tenants.
func (w *world) setTenantBounds() {
	w.setGrown(188)
	w.bounds["strictRevoke"], w.bounds["revokeS"] = true, 5.0
	w.bounds["quotaWindowS"], w.bounds["quotaExcess"], w.bounds["quotaSlack"] = 5.0, 0.1, 20.0
}
