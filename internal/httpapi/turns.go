package httpapi

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-chi/chi/v5"

	"github.com/buckthornroute/buckthornroute/internal/command"
	"github.com/buckthornroute/buckthornroute/internal/home"
	"github.com/buckthornroute/buckthornroute/structs"
)

func (a *api) sendTurn(w http.ResponseWriter, r *http.Request) {
	id, err := programIDOf(r)
	if err != nil {
		writeProblem(w, err)
		return
	}
	var body TurnRequest
	if err := decodeBody(w, r, a.BodyBytes, &body); err != nil {
		writeProblem(w, err)
		return
	}
	a.serveTurn(w, r, home.Turn{
		Program:      id,
		Organisation: organisationOf(r.Context()),
		Number:       body.Number,
		Key:          r.Header.Get(idempotencyKeyHeader),
		Content:      body.Content,
	})
}

// attachTurn responds with the events of a turn that was sent before, running or ended.
func (a *api) attachTurn(w http.ResponseWriter, r *http.Request) {
	id, err := programIDOf(r)
	if err != nil {
		writeProblem(w, err)
		return
	}
	number, err := strconv.ParseUint(chi.URLParam(r, "turn"), 10, 32)
	if err != nil {
		writeProblem(w, structs.Refusalf(structs.CodeBadRequest, structs.OutcomeNotRun, "read path",
			"turn %.40q is not a turn number", chi.URLParam(r, "turn")))
		return
	}
	a.serveTurn(w, r, home.Turn{
		Program:      id,
		Organisation: organisationOf(r.Context()),
		Number:       uint32(number),
		Attach:       true,
	})
}

// serveTurn streams the events of the turn if the caller accepts an event stream;
// otherwise it responds once with the whole answer.
func (a *api) serveTurn(w http.ResponseWriter, r *http.Request, turn home.Turn) {
	if strings.Contains(r.Header.Get("Accept"), "text/event-stream") {
		a.streamTurn(w, r, turn)
		return
	}
	a.awaitTurn(w, r, turn)
}

// awaitTurn responds with the answer when the turn has ended.
func (a *api) awaitTurn(w http.ResponseWriter, r *http.Request, turn home.Turn) {
	var answer *structs.TurnAnswer
	err := a.turn.Handle(r.Context(), command.SendTurn{Turn: turn}, func(e structs.TurnEvent) error {
		if e.Answer != nil {
			answer = e.Answer
		}
		return nil
	})
	if err == nil && answer == nil {
		err = errNoAnswer(turn)
	}
	if err != nil {
		writeProblem(w, err)
		return
	}
	writeJSON(w, http.StatusOK, answer)
}

// errNoAnswer returns the refusal of a turn that ended without an error and without an answer,
// which no home should do.
func errNoAnswer(turn home.Turn) error {
	return structs.Refusalf(structs.CodeInternal, structs.OutcomeUnknown, "turn",
		"turn %d of program %s ended without an answer", turn.Number, turn.Program)
}

// eventStream writes server-sent events. The headers are sent with the first event,
// so that an error before it can still set the status code.
type eventStream struct {
	w       http.ResponseWriter
	control *http.ResponseController
	started bool
}

// streamWriteTimeout bounds the time to write one event to a slow caller.
const streamWriteTimeout = 20 * time.Second

// send writes v as the data of one event with the given name.
func (s *eventStream) send(name string, v any) error {
	if !s.started {
		s.w.Header().Set("Content-Type", "text/event-stream")
		s.w.Header().Set("Cache-Control", "no-store")
		s.w.WriteHeader(http.StatusOK)
		s.started = true
	}
	data, err := json.Marshal(v)
	if err != nil {
		return errors.Wrapf(err, "event %s", name)
	}
	_ = s.control.SetWriteDeadline(time.Now().Add(streamWriteTimeout)) // a writer without deadlines returns an error, which is harmless
	if _, err := fmt.Fprintf(s.w, "event: %s\ndata: %s\n\n", name, data); err != nil {
		return errors.Wrapf(err, "event %s", name)
	}
	return errors.Wrapf(s.control.Flush(), "event %s", name)
}

// streamTurn responds with the events of the turn as they occur. An error after the first event
// becomes an event named refusal, since the status code has been sent.
func (a *api) streamTurn(w http.ResponseWriter, r *http.Request, turn home.Turn) {
	s := &eventStream{w: w, control: http.NewResponseController(w)}
	err := a.turn.Handle(r.Context(), command.SendTurn{Turn: turn}, func(e structs.TurnEvent) error {
		return s.send(eventName(e), e)
	})
	if err == nil {
		return
	}
	if !s.started {
		writeProblem(w, err)
		return
	}
	_ = s.send("refusal", NewProblem(err)) // an error means that the caller has disconnected
}

// eventName returns the name of an event on the stream.
func eventName(e structs.TurnEvent) string {
	switch {
	case e.Answer != nil:
		return "answer"
	case e.Step != "":
		return "step"
	}
	return "token"
}
