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
	// crashMark is in the content of every request that crashes engines.
	crashMark = "deadly minutes"
	// crashSendTime is how long the scenario keeps sending the request.
	crashSendTime = 8 * time.Second
	// crashSendInterval is the time between two requests.
	crashSendInterval = 100 * time.Millisecond
)

// crashRequest repeatedly sends the same content, which crashes engines, each time in a new
// program, with a new key and through the next entry.
func crashRequest(ctx context.Context, t *scenarioRun) error {
	for _, m := range t.cluster.standins.Models {
		if err := m.Faults.Set(standin.Fault{Kind: standin.FaultCrashMarked, Match: crashMark}); err != nil {
			return err
		}
	}
	begin := time.Now()
	sending, cancel := context.WithTimeout(ctx, crashSendTime)
	defer cancel()
	quarantined := make(map[string]time.Duration)
	for n := 0; sending.Err() == nil; n++ {
		entry := t.load.caller.pick()
		err := t.sendCrashTurn(sending, entry, n)
		if _, seen := quarantined[entry]; !seen && structs.AsRefusal(err).Code == structs.CodeQuarantined {
			quarantined[entry] = time.Since(begin)
		}
		sleep(sending, crashSendInterval)
	}
	for _, m := range t.cluster.standins.Models {
		t.result.EngineCrashes += int(m.Stats().Crashes)
	}
	for _, d := range quarantined {
		t.result.QuarantineSeconds = append(t.result.QuarantineSeconds, d.Seconds())
	}
	return nil
}

// sendCrashTurn opens a program and sends the turn. The error is never nil: no engine is
// expected to answer, and an answer is returned as a refusal.
func (t *scenarioRun) sendCrashTurn(ctx context.Context, entry string, n int) error {
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
		token: callerToken, key: key, body: httpapi.TurnRequest{Number: 1, Content: crashMark},
	}, func() {})
	if err == nil {
		err = structs.Refusalf(structs.CodeInternal, structs.OutcomeRan, "deadly turn", "an engine answered")
	}
	t.load.logFailure("deadly", key, err)
	return err
}
