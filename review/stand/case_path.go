package main

import (
	"fmt"
	"time"
)

// pathCase adds a route with a longer prefix. The path of the requests has an encoded
// slash, so that it does not begin with that prefix.
func pathCase(w *world) verdict {
	w.addMachine("recife-a", "portal")
	w.addMachine("recife-b", "balcao")
	routes := []route{{name: "manual", host: "feira.example", prefix: "/manual/", kind: "non_idempotent", service: "portal", timeoutS: 1.2, targetS: 0.4, attempts: 2}}
	w.store.put("config", "main", config("0000000c", routes, nil, "portal", "balcao"))
	w.begin()
	confirmed := time.Now()
	if w.trouble {
		routes = append(routes, route{name: "orders", host: "feira.example", prefix: "/manual/pedido/", kind: "non_idempotent", service: "balcao", timeoutS: 1.2, targetS: 0.4, attempts: 2})
		confirmed = w.store.put("config", "main", config("0000000f", routes, nil, "portal", "balcao"))
	}
	time.Sleep(time.Until(confirmed.Add(4 * time.Second))) // configS, and 2 s
	var sent collector
	for i := range 20 {
		sent.send(w, &request{method: "PUT", host: "feira.example", path: "/manual/pedido%2F17", from: w.machines[i%2], body: 100, budget: 2 * time.Second})
		time.Sleep(50 * time.Millisecond)
	}
	sent.group.Wait()
	wrong, right := 0, 0
	for _, r := range sent.list {
		for _, x := range w.runs()[r.id] {
			if x.service == "portal" {
				right++
			} else {
				wrong++
				w.record("ROUTE: %s %s was run by %s, %s", r.id, r.path, x.service, x.endpoint)
			}
		}
	}
	if right+wrong == 0 {
		panic("no request ran")
	}
	return verdict{broken: wrong > 0, text: fmt.Sprintf("ROUTE: of %d requests whose path begins with /manual/ and not with /manual/pedido/, %d were run by balcao and %d by portal", len(sent.list), wrong, right)}
}
