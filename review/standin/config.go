//go:build review

package main

// putConfig writes a configuration, as the operator does.
func (w *world) putConfig(version int, routes, services, tenants []map[string]any) {
	w.store.Put("config", "main", map[string]any{
		"version": version, "routes": routes, "services": services, "tenants": tenants,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	w.logf("operator: configuration %d", version)
}

// route returns a route with the prefix "/NAME/".
func route(name, kind, service string, timeoutMs, targetMs, attempts int, resumable bool) map[string]any {
	return map[string]any{
		"name": name, "host": routeHost, "path_prefix": "/" + name + "/", "kind": kind, "timeout_ms": timeoutMs, "target_latency_ms": targetMs,
		"priority": 1, "service": service, "max_attempts": attempts, "public": false, "sticky": kind == "streaming", "resumable": resumable, "gap_target_ms": 400,
	}
}

// engineService returns a service of model servers.
func engineService(name string, slots int) map[string]any {
	return map[string]any{
		"name": name, "health_path": "/healthz", "max_connections": 360, "protocol": "h1", "tls": false,
		"engine": map[string]any{"slots": slots, "kv_capacity_tokens": 422493, "kv_bytes": 18432, "link_mbps": 280000.0, "moves": true, "backups": true,
			"stride": 7, "most": 12, "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0, "models": []map[string]any{{"name": "m"}}},
	}
}

// The installation kifaru-cutfloor: its zones and their regions, and the zone of each machine.
var (
	kifaruZones    = []string{"nbo-industrial", "mba-changamwe", "nbo-ruaraka"}
	kifaruRegions  = map[string]string{"nbo-industrial": "nairobi", "mba-changamwe": "mombasa", "nbo-ruaraka": "nairobi"}
	kifaruMachines = []string{"nbo-industrial", "nbo-industrial", "mba-changamwe", "mba-changamwe", "mba-changamwe", "nbo-ruaraka"}
)
