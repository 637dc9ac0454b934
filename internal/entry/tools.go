package entry

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/buckthornroute/buckthornroute/action"
	"github.com/buckthornroute/buckthornroute/internal/engine"
	"github.com/buckthornroute/buckthornroute/internal/peer"
	"github.com/buckthornroute/buckthornroute/internal/peer/peerpb"
	"github.com/buckthornroute/buckthornroute/internal/settings"
	"github.com/buckthornroute/buckthornroute/structs"
)

// toolService is a tool service of the settings with its client.
type toolService struct {
	settings settings.Tool
	client   *engine.Service
}

// tools runs calls of tools and of plain services. Programs call both by name. A tool is
// called directly at its tool service, a plain service through the side of an application
// engine that offers it.
type tools struct {
	plainServices map[string]settings.Service
	toolServices  map[string]*toolService
	router        *router
	links         map[structs.UpstreamID]*sideLink
	now           func() time.Time
}

func newTools(cfg *settings.Entry, r *router, links map[structs.UpstreamID]*sideLink, client func(settings.Tool) *engine.Service) *tools {
	t := &tools{
		plainServices: map[string]settings.Service{},
		toolServices:  map[string]*toolService{},
		router:        r,
		links:         links,
		now:           time.Now,
	}
	for _, s := range cfg.Services {
		t.plainServices[s.Name] = s
	}
	for _, tool := range cfg.Tools {
		t.toolServices[tool.Name] = &toolService{settings: tool, client: client(tool)}
	}
	return t
}

// Irreversible reports whether calls of the named tool or service are irreversible,
// and whether a tool or service of that name exists.
func (t *tools) Irreversible(name string) (irreversible, exists bool) {
	if tool, ok := t.toolServices[name]; ok {
		return tool.settings.Irreversible, true
	}
	service, ok := t.plainServices[name]
	return service.Irreversible, ok
}

// Run runs one call and returns its result. An irreversible call starts at most once; a
// call that was refused with outcome not run was never started.
func (t *tools) Run(ctx context.Context, req structs.ToolRequest) (string, error) {
	if tool, ok := t.toolServices[req.Name]; ok {
		return tool.client.Invoke(ctx, req)
	}
	if _, ok := t.plainServices[req.Name]; !ok {
		return "", structs.Refusalf(structs.CodeNotFound, structs.OutcomeNotRun, "tool "+req.Name,
			"tool %q is not in the settings", req.Name)
	}
	return t.runService(ctx, req)
}

// maxServiceAttempts bounds the number of upstreams that one service call is sent to.
const maxServiceAttempts = 3

// runService runs a call of a plain service, at up to maxServiceAttempts upstreams.
func (t *tools) runService(ctx context.Context, req structs.ToolRequest) (string, error) {
	tried := map[structs.UpstreamID]bool{}
	var last error
	for len(tried) < maxServiceAttempts {
		id, ok := t.router.chooseService(t.now(), req.Name, tried)
		if !ok {
			break
		}
		tried[id] = true
		result, err := t.invoke(ctx, id, req)
		if err == nil {
			return result, nil
		}
		last = err
		if !mayRepeat(req, err) || ctx.Err() != nil {
			return "", err
		}
	}
	if last != nil {
		return "", last
	}
	r := structs.Refusalf(structs.CodeOverloaded, structs.OutcomeNotRun, "route",
		"no application engine takes service %q", req.Name)
	r.RetryAfter = noUpstreamRetry
	return "", r
}

// mayRepeat reports whether the call may be sent to another upstream: it was not run, or
// the upstream failed and the call is not irreversible.
func mayRepeat(req structs.ToolRequest, err error) bool {
	var r *structs.Refusal
	if !errors.As(err, &r) {
		return false
	}
	if r.Outcome == structs.OutcomeNotRun {
		return r.Code != structs.CodeBadRequest && r.Code != structs.CodeNotFound
	}
	return !req.Irreversible && r.Code == structs.CodeUpstreamFailed
}

// invoke sends the call to the side of one upstream.
func (t *tools) invoke(ctx context.Context, id structs.UpstreamID, req structs.ToolRequest) (string, error) {
	link := t.links[id]
	reply, err := link.client.Invoke(ctx, &peerpb.InvokeRequest{
		Call:          string(req.Call),
		Attempt:       req.Attempt,
		Organisation:  string(req.Organisation),
		Name:          req.Name,
		Arguments:     req.Arguments,
		Key:           req.Key,
		Timeout:       peer.DurationToPB(req.Timeout),
		NonRepeatable: req.Irreversible,
	})
	err = peer.FromStatus(err, "service "+req.Name, string(id))
	t.router.doneService(t.now(), id, upstreamFailed(err))
	if err != nil {
		return "", err
	}
	if structs.CallID(reply.GetCall()) != req.Call || reply.GetAttempt() != req.Attempt {
		return "", &structs.Refusal{
			Code:    structs.CodeUpstreamFailed,
			Outcome: structs.OutcomeUnknown,
			Step:    "service " + req.Name,
			Peer:    string(id),
			Detail:  "the answer is that of call " + reply.GetCall(),
		}
	}
	t.router.reportWithAnswer(t.now(), peer.LoadFromPB(reply.GetLoad()))
	return reply.GetResult(), nil
}

// upstreamFailed reports whether err is a refusal because of a failed upstream.
func upstreamFailed(err error) bool {
	var r *structs.Refusal
	return errors.As(err, &r) && r.Code == structs.CodeUpstreamFailed
}

// QueryStatus asks the named tool or plain service for the status and the result of the
// call with the key. It refuses with CodeActionInDoubt if the settings do not state that
// the service answers such queries (answers_status). A plain service is asked at any of its
// engines: the setting also states that they share the status of calls.
func (t *tools) QueryStatus(ctx context.Context, name, key string) (action.RequestStatus, string, error) {
	if tool, ok := t.toolServices[name]; ok {
		if !tool.settings.AnswersStatus {
			return "", "", structs.Refusalf(structs.CodeActionInDoubt, structs.OutcomeUnknown, "ask "+name,
				"service %q does not tell what became of key %q", name, key)
		}
		answer, err := tool.client.Status(ctx, name, key)
		return action.RequestStatus(answer.State), answer.Result, err
	}
	if !t.plainServices[name].AnswersStatus {
		return "", "", structs.Refusalf(structs.CodeActionInDoubt, structs.OutcomeUnknown, "ask "+name,
			"service %q does not tell what became of key %q", name, key)
	}
	id, ok := t.router.chooseService(t.now(), name, nil)
	if !ok {
		return "", "", structs.Refusalf(structs.CodeOverloaded, structs.OutcomeUnknown, "ask "+name,
			"no application engine answers for service %q", name)
	}
	reply, err := t.links[id].client.Ask(ctx, &peerpb.AskRequest{Name: name, Key: key})
	err = peer.FromStatus(err, "ask "+name, string(id))
	t.router.doneService(t.now(), id, upstreamFailed(err))
	if err != nil {
		return "", "", err
	}
	return action.RequestStatus(reply.GetState()), reply.GetResult(), nil
}
