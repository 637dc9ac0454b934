package main

// Services of the desired state.
const (
	llmService = "llm-pool"
	appService = "portal-app"
)

// route is a route of the desired state.
type route struct {
	Name       string `json:"name"`
	Host       string `json:"host"`
	Prefix     string `json:"prefix"`
	Kind       string `json:"route-type"`
	TimeoutMs  int    `json:"timeout-ms"`
	TargetMs   int    `json:"target-latency-ms"`
	GapMs      int    `json:"gap-target-ms,omitempty"`
	Priority   int    `json:"priority"`
	Service    string `json:"service"`
	Attempts   int    `json:"attempts"`
	Resumable  bool   `json:"resumable"`
	Affinity   bool   `json:"session-affinity"`
	Retained   bool   `json:"retained"`
	RetentionS int    `json:"retention-s,omitempty"`
}

// writeDocument writes the first desired state, with the figures of the site that the claims name.
func (s *store) writeDocument(routes ...route) {
	for i := range routes {
		routes[i].Host = host
	}
	s.put("op", "config", map[string]any{
		"version": 3,
		"routes":  routes,
		"services": []map[string]any{
			{"name": llmService, "health-path": "/healthz", "max-connections": 180, "engine": map[string]any{"slots": 16, "kv-capacity-tokens": 487834, "tokens-per-event": tokensPerEvent}},
			{"name": appService, "health-path": "/healthz", "max-connections": 110},
		},
		"limits": map[string]any{"max-header-bytes": 32768, "max-body-bytes": 4194304, "header-timeout-ms": 2000, "idle-timeout-ms": 5000},
	})
}
