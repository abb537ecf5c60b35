package main

import (
	"fmt"
	"net/http"
	"time"
)

// keysCase puts a version into the store in which a tenant has many keys. The version also
// moves a route that needs no key to another service, and adds another one.
func keysCase(w *world) verdict {
	w.setTenantBounds()
	w.addMachine("quito-a", "pledges")
	w.addMachine("quito-b", "receipts")
	number := 65
	if !w.trouble {
		number = 64
	}
	var keys []string
	for i := range number {
		keys = append(keys, fmt.Sprintf("ruddedev3nax7u27g%03d", i))
	}
	tenant := func(keys ...string) []map[string]any {
		return []map[string]any{{"name": "pulo780", "apiKeys": keys, "priority": 1, "ratePerS": 0, "burst": 0}}
	}
	charge := route{name: "pledge-charge", host: "pledges.example", prefix: "/pledge/", kind: "non_idempotent", service: "pledges", timeoutS: 3, targetS: 1, attempts: 2}
	moved := route{name: "scan-index", host: "inner.example", prefix: "/scan/", kind: "idempotent", service: "pledges", timeoutS: 3, targetS: 1, attempts: 2, anonymous: true}
	added := route{name: "pledge-status", host: "inner.example", prefix: "/status/", kind: "idempotent", service: "pledges", timeoutS: 3, targetS: 1, attempts: 2, anonymous: true}
	w.store.put("config", "main", config("0000000c", []route{charge, moved}, tenant(keys[0]), "pledges", "receipts"))
	w.begin()
	moved.service = "receipts"
	confirmed := w.store.put("config", "main", config("0000000f", []route{charge, moved, added}, tenant(keys...), "pledges", "receipts"))
	time.Sleep(time.Until(confirmed.Add(4 * time.Second))) // configS, and 1.5 s

	var onMoved, onAdded, keyed collector
	for i := 0; time.Since(confirmed) < 12*time.Second; i++ {
		from := w.machines[i%2]
		onMoved.send(w, &request{method: "GET", host: "inner.example", path: "/scan/1", budget: 3 * time.Second, from: from})
		onAdded.send(w, &request{method: "GET", host: "inner.example", path: "/status/1", budget: 3 * time.Second, from: from})
		keyed.send(w, &request{method: "POST", host: "pledges.example", path: "/pledge/1", key: keys[i%number], body: 100, budget: 3 * time.Second, from: from})
		time.Sleep(100 * time.Millisecond)
	}
	for _, c := range []*collector{&onMoved, &onAdded, &keyed} {
		c.group.Wait()
	}
	byFormer := 0
	for _, r := range onMoved.list {
		for _, x := range w.runs()[r.id] {
			if x.service == "pledges" {
				byFormer++
			}
		}
	}
	notFound := countStatus(onAdded.list, http.StatusNotFound)
	return verdict{broken: byFormer > 0 || notFound > 0, text: fmt.Sprintf("CONFIG: 4 s and later after the confirmation (configS 2.5) of a version with %d keys of a tenant, %d of %d requests on the route that it moved were run by the former service, and %d of %d on the route that it added got 404; of %d with its keys %d were answered by an endpoint",
		number, byFormer, len(onMoved.list), notFound, len(onAdded.list), len(keyed.list), countStatus(keyed.list, http.StatusOK))}
}

func countStatus(list []*request, status int) int {
	count := 0
	for _, r := range list {
		if r.status == status {
			count++
		}
	}
	return count
}
