package httpapi

import (
	"net/http"

	"github.com/go-chi/chi/v5"

	"github.com/buckthornroute/buckthornroute/internal/command"
	"github.com/buckthornroute/buckthornroute/internal/query"
	"github.com/buckthornroute/buckthornroute/structs"
)

// SwitchRequest is the body of POST /operator/presets/{preset}/switch.
type SwitchRequest struct {
	ExpectedVersion uint64 `json:"expected_version"`
}

// OrderRequest is the body of POST /operator/upstreams/{upstream}/orders.
type OrderRequest struct {
	// Order is "load_model" or "role".
	Order    string `json:"order"`
	Argument string `json:"argument"`
}

// SettleRequest is the body of POST /operator/actions/settle.
type SettleRequest struct {
	Organisation structs.OrganisationID `json:"organisation"`
	Key          string                 `json:"key"`
	Outcome      structs.Outcome        `json:"outcome"`
	Result       string                 `json:"result"`
}

func (a *api) listPresets(w http.ResponseWriter, r *http.Request) {
	presets, err := a.System.Presets(r.Context())
	writeResult(w, presets, err)
}

func (a *api) showPreset(w http.ResponseWriter, r *http.Request) {
	p, err := a.System.Preset(r.Context(), chi.URLParam(r, "preset"))
	writeResult(w, p, err)
}

// putPreset stores a preset's definition. The body may leave out the name, since the path has
// it.
func (a *api) putPreset(w http.ResponseWriter, r *http.Request) {
	var p structs.Preset
	if err := decodeBody(w, r, a.BodyBytes, &p); err != nil {
		writeProblem(w, err)
		return
	}
	name := chi.URLParam(r, "preset")
	if p.Name == "" {
		p.Name = name
	}
	if p.Name != name {
		writeProblem(w, structs.Refusalf(structs.CodeBadRequest, structs.OutcomeNotRun, "put preset",
			"the body names preset %q, the path %q", p.Name, name))
		return
	}
	if err := a.put.Handle(r.Context(), command.PutPreset{Preset: p}); err != nil {
		writeProblem(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (a *api) switchPreset(w http.ResponseWriter, r *http.Request) {
	var body SwitchRequest
	if err := decodeBody(w, r, a.BodyBytes, &body); err != nil {
		writeProblem(w, err)
		return
	}
	inForce, err := a.switchTo.Handle(r.Context(), command.SwitchPreset{
		Name:     chi.URLParam(r, "preset"),
		Operator: operatorOf(r.Context()),
		Expected: body.ExpectedVersion,
	})
	writeResult(w, inForce, err)
}

func (a *api) presetInForce(w http.ResponseWriter, r *http.Request) {
	inForce, err := a.System.InForce(r.Context())
	writeResult(w, inForce, err)
}

func (a *api) listNodes(w http.ResponseWriter, r *http.Request) {
	nodes, err := a.System.Nodes(r.Context())
	writeResult(w, nodes, err)
}

func (a *api) status(w http.ResponseWriter, r *http.Request) {
	status, err := a.System.Status(r.Context())
	writeResult(w, status, err)
}

func (a *api) drainVM(w http.ResponseWriter, r *http.Request) { a.setDrain(w, r, false) }

func (a *api) undrainVM(w http.ResponseWriter, r *http.Request) { a.setDrain(w, r, true) }

// setDrain drains a VM, or ends its drain if undrain is set.
func (a *api) setDrain(w http.ResponseWriter, r *http.Request, undrain bool) {
	err := a.drain.Handle(r.Context(), command.DrainVM{
		VM:       structs.VMID(chi.URLParam(r, "vm")),
		Undrain:  undrain,
		Operator: operatorOf(r.Context()),
	})
	if err != nil {
		writeProblem(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (a *api) orderUpstream(w http.ResponseWriter, r *http.Request) {
	var body OrderRequest
	if err := decodeBody(w, r, a.BodyBytes, &body); err != nil {
		writeProblem(w, err)
		return
	}
	err := a.order.Handle(r.Context(), command.OrderUpstream{
		Upstream: structs.UpstreamID(chi.URLParam(r, "upstream")),
		Order:    body.Order,
		Argument: body.Argument,
		Operator: operatorOf(r.Context()),
	})
	if err != nil {
		writeProblem(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (a *api) listPrograms(w http.ResponseWriter, r *http.Request) {
	a.writePrograms(w, r, structs.OrganisationID(r.URL.Query().Get("organisation")))
}

func (a *api) listActions(w http.ResponseWriter, r *http.Request) {
	actions, err := a.System.UnresolvedActions(r.Context())
	if actions == nil { // encode an empty array, not null
		actions = []query.Action{}
	}
	writeResult(w, actions, err)
}

func (a *api) settleAction(w http.ResponseWriter, r *http.Request) {
	var body SettleRequest
	if err := decodeBody(w, r, a.BodyBytes, &body); err != nil {
		writeProblem(w, err)
		return
	}
	err := a.settle.Handle(r.Context(), command.SettleAction{
		Organisation: body.Organisation,
		Key:          body.Key,
		Outcome:      body.Outcome,
		Result:       body.Result,
		Operator:     operatorOf(r.Context()),
	})
	if err != nil {
		writeProblem(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// writeResult responds with v, or with the problem document for err if it is not nil.
func writeResult(w http.ResponseWriter, v any, err error) {
	if err != nil {
		writeProblem(w, err)
		return
	}
	writeJSON(w, http.StatusOK, v)
}
