package httpapi

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/go-chi/chi/v5"

	"github.com/buckthornroute/buckthornroute/internal/command"
	"github.com/buckthornroute/buckthornroute/internal/home"
	"github.com/buckthornroute/buckthornroute/structs"
)

// OpenRequest is the body of POST /v1/programs.
type OpenRequest struct {
	Kind   string `json:"kind"`
	Model  string `json:"model"`
	System string `json:"system,omitempty"`
	Budget Budget `json:"budget,omitzero"`
	// TurnTimeout is the turn timeout as text, such as "30s".
	TurnTimeout structs.Duration `json:"patience,omitempty"`
}

// Budget is the JSON form of a structs.Budget, with durations as text.
type Budget struct {
	Tokens   int64            `json:"tokens,omitempty"`
	Calls    int64            `json:"calls,omitempty"`
	ToolTime structs.Duration `json:"tool_time,omitempty"`
	Depth    int              `json:"depth,omitempty"`
	Agents   int64            `json:"agents,omitempty"`
}

// toStructs converts b to the type that programs use.
func (b Budget) toStructs() structs.Budget {
	return structs.Budget{
		Tokens:   b.Tokens,
		Calls:    b.Calls,
		ToolTime: b.ToolTime.Std(),
		Depth:    b.Depth,
		Agents:   b.Agents,
	}
}

// OpenResponse is the response to POST /v1/programs.
type OpenResponse struct {
	ID structs.ProgramID `json:"id"`
}

// TurnRequest is the body of POST /v1/programs/{program}/turns.
type TurnRequest struct {
	Number  uint32 `json:"number"`
	Content string `json:"content"`
}

// InvokeRequest is the body of POST /v1/services/{service}.
type InvokeRequest struct {
	Arguments json.RawMessage `json:"arguments,omitempty"`
}

// InvokeResponse is the response to POST /v1/services/{service}.
type InvokeResponse struct {
	Result string `json:"result"`
}

// idempotencyKeyHeader is the header with the caller's idempotency key. A request without it
// has an empty key.
const idempotencyKeyHeader = "Idempotency-Key"

func (a *api) openProgram(w http.ResponseWriter, r *http.Request) {
	var body OpenRequest
	if err := decodeBody(w, r, a.BodyBytes, &body); err != nil {
		writeProblem(w, err)
		return
	}
	id, err := a.open.Handle(r.Context(), command.OpenProgram{Spec: structs.ProgramSpec{
		Organisation: organisationOf(r.Context()),
		Kind:         body.Kind,
		Model:        body.Model,
		System:       body.System,
		Budget:       body.Budget.toStructs(),
		TurnTimeout:  body.TurnTimeout.Std(),
		Key:          r.Header.Get(idempotencyKeyHeader),
	}})
	if err != nil {
		writeProblem(w, err)
		return
	}
	w.Header().Set("Location", "/v1/programs/"+string(id))
	writeJSON(w, http.StatusCreated, OpenResponse{ID: id})
}

func (a *api) readProgram(w http.ResponseWriter, r *http.Request) { a.writeProgram(w, r, false) }

func (a *api) readHistory(w http.ResponseWriter, r *http.Request) { a.writeProgram(w, r, true) }

// writeProgram responds with the view of a program, with its history if history is set.
func (a *api) writeProgram(w http.ResponseWriter, r *http.Request, history bool) {
	id, err := programIDOf(r)
	if err != nil {
		writeProblem(w, err)
		return
	}
	view, err := a.read.Handle(r.Context(), home.Read{
		Program:      id,
		Organisation: organisationOf(r.Context()),
		History:      history,
	})
	if err != nil {
		writeProblem(w, err)
		return
	}
	writeJSON(w, http.StatusOK, view)
}

func (a *api) listOwnPrograms(w http.ResponseWriter, r *http.Request) {
	a.writePrograms(w, r, organisationOf(r.Context()))
}

// writePrograms responds with one page of the programs of an organisation, or of all if
// organisation is empty. The query parameters are limit and after, the last id of the page
// before.
func (a *api) writePrograms(w http.ResponseWriter, r *http.Request, organisation structs.OrganisationID) {
	limit, err := intParameter(r, "limit")
	if err != nil {
		writeProblem(w, err)
		return
	}
	views, err := a.list.Handle(r.Context(), home.List{
		Organisation: organisation,
		After:        structs.ProgramID(r.URL.Query().Get("after")),
		Limit:        limit,
	})
	if err != nil {
		writeProblem(w, err)
		return
	}
	if views == nil { // encode an empty array, not null
		views = []structs.ProgramView{}
	}
	writeJSON(w, http.StatusOK, views)
}

// closeProgram ends a program. It is refused while a turn of the program is running.
func (a *api) closeProgram(w http.ResponseWriter, r *http.Request) { a.endProgram(w, r, false) }

// cancelProgram ends a program and cancels its running turn, if any. No route cancels the turn
// alone.
func (a *api) cancelProgram(w http.ResponseWriter, r *http.Request) { a.endProgram(w, r, true) }

func (a *api) endProgram(w http.ResponseWriter, r *http.Request, cancel bool) {
	id, err := programIDOf(r)
	if err != nil {
		writeProblem(w, err)
		return
	}
	err = a.end.Handle(r.Context(), command.EndProgram{End: home.End{
		Program:      id,
		Organisation: organisationOf(r.Context()),
		Cancel:       cancel,
	}})
	if err != nil {
		writeProblem(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// invokeService runs one call of a service outside a program.
func (a *api) invokeService(w http.ResponseWriter, r *http.Request) {
	var body InvokeRequest
	if err := decodeBody(w, r, a.BodyBytes, &body); err != nil {
		writeProblem(w, err)
		return
	}
	result, err := a.invoke.Handle(r.Context(), command.InvokeService{
		Organisation: organisationOf(r.Context()),
		Name:         chi.URLParam(r, "service"),
		Arguments:    body.Arguments,
		Key:          r.Header.Get(idempotencyKeyHeader),
	})
	if err != nil {
		writeProblem(w, err)
		return
	}
	writeJSON(w, http.StatusOK, InvokeResponse{Result: result})
}

// programIDOf returns the program id in the request's path.
func programIDOf(r *http.Request) (structs.ProgramID, error) {
	id, err := structs.ParseProgramID(chi.URLParam(r, "program"))
	if err != nil {
		return "", structs.Refusalf(structs.CodeNotFound, structs.OutcomeNotRun, "read path", "%s", err)
	}
	return id, nil
}

// intParameter returns a query parameter that is a non-negative integer; 0 when it is absent.
func intParameter(r *http.Request, name string) (int, error) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return 0, nil
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < 0 {
		return 0, structs.Refusalf(structs.CodeBadRequest, structs.OutcomeNotRun, "read query", "%s %q is not a whole number", name, text)
	}
	return n, nil
}
