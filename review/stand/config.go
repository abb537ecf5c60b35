package main

// route is a route of the configuration.
type route struct {
	name, host, prefix, kind, service string
	timeoutS, targetS                 float64
	priority, attempts                int
	anonymous                         bool
}

// config returns a configuration as operators write it. tenants may be nil.
func config(version string, routes []route, tenants []map[string]any, services ...string) map[string]any {
	byHost := map[string][]map[string]any{}
	var hosts []string
	for _, r := range routes {
		rule := map[string]any{
			"name": r.name, "routeType": r.kind, "targetLatencyS": r.targetS, "priority": r.priority, "anonymous": r.anonymous,
			"match": map[string]any{"pathPrefix": r.prefix}, "action": map[string]any{"service": r.service, "timeoutS": r.timeoutS, "attempts": r.attempts},
		}
		if r.timeoutS == 0 {
			delete(rule["action"].(map[string]any), "timeoutS")
		}
		if byHost[r.host] == nil {
			hosts = append(hosts, r.host)
		}
		byHost[r.host] = append(byHost[r.host], rule)
	}
	listeners := []map[string]any{}
	for _, host := range hosts {
		listeners = append(listeners, map[string]any{"host": host, "rules": byHost[host]})
	}
	clusters := []map[string]any{}
	for _, service := range services {
		clusters = append(clusters, map[string]any{"name": service, "healthPath": "/healthz", "maxConns": 120, "protocol": "h1", "tls": false})
	}
	result := map[string]any{
		"version":   version,
		"limits":    map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutS": 3, "idleTimeoutS": 15},
		"listeners": listeners, "clusters": clusters,
	}
	if tenants != nil {
		result["tenants"] = tenants
	}
	return result
}
