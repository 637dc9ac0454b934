package faulttrial

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/buckthornroute/buckthornroute/internal/httpapi"
	"github.com/buckthornroute/buckthornroute/internal/standin"
	"github.com/buckthornroute/buckthornroute/structs"
)

const (
	// deadlyMark is in every request that crashes engines.
	deadlyMark = "deadly minutes"
	// deadlyTime is how long the caller sends the request again.
	deadlyTime = 8 * time.Second
	// deadlyPause is the time between two sends.
	deadlyPause = 100 * time.Millisecond
)

// crashRequest sends one content that crashes engines again and again, each time
// in a program of its own, under a new key and through the next entry.
func crashRequest(ctx context.Context, t *trial) error {
	for _, m := range t.cluster.standins.Models {
		if err := m.Faults.Set(standin.Fault{Kind: standin.FaultCrashMarked, Match: deadlyMark}); err != nil {
			return err
		}
	}
	begin := time.Now()
	sending, cancel := context.WithTimeout(ctx, deadlyTime)
	defer cancel()
	quarantined := make(map[string]time.Duration)
	for n := 0; sending.Err() == nil; n++ {
		entry := t.load.caller.pick()
		err := t.sendDeadly(sending, entry, n)
		if _, seen := quarantined[entry]; !seen && structs.AsRefusal(err).Code == structs.CodeQuarantined {
			quarantined[entry] = time.Since(begin)
		}
		sleep(sending, deadlyPause)
	}
	for _, m := range t.cluster.standins.Models {
		t.result.EngineCrashes += int(m.Stats().Crashes)
	}
	for _, d := range quarantined {
		t.result.QuarantineSeconds = append(t.result.QuarantineSeconds, d.Seconds())
	}
	return nil
}

// sendDeadly opens a program and sends the turn; it returns the refusal, which is
// never nil, since no engine answers.
func (t *trial) sendDeadly(ctx context.Context, entry string, n int) error {
	key := fmt.Sprintf("deadly-%d", n)
	var opened httpapi.OpenResponse
	err := t.load.caller.exchange(ctx, request{
		entry: entry, method: http.MethodPost, path: "/v1/programs", token: callerToken, key: key,
		body: httpapi.OpenRequest{Kind: "draft", Model: modelName},
	}, &opened)
	if err != nil {
		return err
	}
	_, err = t.load.caller.turn(ctx, request{
		entry: entry, method: http.MethodPost, path: "/v1/programs/" + string(opened.ID) + "/turns",
		token: callerToken, key: key, body: httpapi.TurnRequest{Number: 1, Content: deadlyMark},
	}, func() {})
	if err == nil {
		err = structs.Refusalf(structs.CodeInternal, structs.OutcomeRan, "deadly turn", "an engine answered")
	}
	t.load.note("deadly", key, err)
	return err
}
