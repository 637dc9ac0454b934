package main

import "time"

func init() { cases["weights"] = weights }

const (
	// configApply is the bound config-apply-ms, drainTime drain-ms, contact contact-ms.
	configApply = 2 * time.Second
	drainTime   = 2 * time.Second
	contact     = 3 * time.Second
)

// act is a route whose requests must not run twice, over two services.
func act(backends string) string {
	return `{"name":"r-act","host":"portal.example","prefix":"/act/","route-type":"unsafe","timeout-ms":3000,"target-latency-ms":500,"priority":2,"attempts":1,"backends":[` + backends + `]}`
}

// weights moves a split route wholly to its second service, and then loses the failure domain in which that runs.
func weights(t *trial) (bool, error) {
	var old, moved []*engine
	for _, id := range []string{"i-old-1", "i-old-2", "i-old-3"} {
		e, err := t.startEngine(id, "app-old", "zone-a", 0, 0)
		if err != nil {
			return false, err
		}
		old = append(old, e)
	}
	for _, id := range []string{"i-new-1", "i-new-2"} {
		e, err := t.startEngine(id, "app-new", "zone-b", 0, 0)
		if err != nil {
			return false, err
		}
		moved = append(moved, e)
	}
	services := `{"name":"app-old","health-path":"/healthz","max-connections":110},{"name":"app-new","health-path":"/healthz","max-connections":110}`
	t.config(act(`{"service":"app-old","weight":90},{"service":"app-new","weight":10}`), services)
	if err := t.startEntries(2); err != nil {
		return false, err
	}
	t.config(act(`{"service":"app-old","weight":0},{"service":"app-new","weight":100}`), services)
	acked := time.Now()
	sent := map[string]time.Time{}
	send := func(n int) {
		for i := range n {
			at := time.Now()
			a := t.client.send(t.entries[i%2], "POST", "/act/2f", 3*time.Second, "publish", nil)
			sent[a.id] = at
			time.Sleep(40 * time.Millisecond)
		}
	}
	time.Sleep(configApply + time.Second)
	send(20)
	if t.trouble {
		for _, e := range moved {
			e.crash()
		}
		// The platform removes their rows after three beats of silence.
		time.Sleep(3 * heartbeat)
		for _, e := range moved {
			t.store.remove("servers", e.id)
		}
		t.rec.add("the entries of the engines of app-new are removed")
	}
	time.Sleep(time.Second)
	send(40)
	wrong := 0
	for _, e := range old {
		for _, r := range e.runs() {
			if at, ok := sent[r.id]; ok && at.Sub(acked) > configApply {
				wrong++
			}
		}
	}
	t.rec.add("%d of %d requests that were sent later than %v after the ack ran at the service that the route had before", wrong, len(sent), configApply)
	return wrong > 0, nil
}
