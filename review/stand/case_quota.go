package main

import (
	"fmt"
	"sort"
	"time"
)

// quotaCase loses an endpoint for good. The node beside it goes on serving requesters.
func quotaCase(w *world) verdict {
	w.setTenantBounds()
	const rate, burst = 200.0, 20.0
	for i, zone := range []string{"quito-a", "quito-b", "quito-c", "quito-a", "quito-b"} {
		w.addMachine(zone, []string{"campaigns", "campaigns", "campaigns", "pledges", "pledges"}[i])
	}
	w.store.put("config", "main", config("0000000c", []route{
		{name: "campaign-browse", host: "campaigns.example", prefix: "/browse/", kind: "idempotent", service: "campaigns", timeoutS: 2.5, targetS: 0.8, priority: 1, attempts: 2},
	}, []map[string]any{{"name": "pulo780", "apiKeys": []string{"qnirth5mgjy5rcpihhac"}, "priority": 1, "ratePerS": rate, "burst": burst}}, "campaigns", "pledges"))
	w.begin()
	if w.trouble {
		w.machines[3].endpoint.kill()
	}
	time.Sleep(22 * time.Second)
	var sent collector
	end := time.Now().Add(15 * time.Second)
	for _, m := range w.machines {
		sent.sendEach(w, 11*time.Millisecond, end, func() *request {
			return &request{method: "GET", host: "campaigns.example", path: "/browse/1", key: "qnirth5mgjy5rcpihhac", from: m, budget: 5 * time.Second}
		})
	}
	sent.group.Wait()
	runs := w.runs()
	type span struct{ sent, arrived time.Time }
	var spans []span
	for _, r := range sent.list {
		for _, x := range runs[r.id] {
			spans = append(spans, span{r.begin, x.begin})
		}
	}
	sort.Slice(spans, func(i, j int) bool { return spans[i].sent.Before(spans[j].sent) })
	const window = 5 * time.Second
	bound, most := (rate*window.Seconds()+burst)*1.1+20, 0
	for _, first := range spans {
		count := 0
		for _, s := range spans {
			if !s.sent.Before(first.sent) && s.arrived.Before(first.sent.Add(window)) {
				count++
			}
		}
		most = max(most, count)
	}
	return verdict{broken: float64(most) > bound, text: fmt.Sprintf("QUOTA: %d requests of the tenant were sent and run in some 5 s, %.0f are allowed; %d of %d ran in all", most, bound, len(spans), len(sent.list))}
}
