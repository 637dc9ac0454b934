package runner

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/buckthornroute/buckthornroute/homelog"
	"github.com/buckthornroute/buckthornroute/internal/home"
	"github.com/buckthornroute/buckthornroute/program"
	"github.com/buckthornroute/buckthornroute/structs"
	"go.opentelemetry.io/otel/trace"
)

// Steps named in refusals.
const (
	stepOpen = "open program"
	stepTurn = "turn"
	stepRead = "read program"
)

// closedToNew refuses new work while this process is ending or has lost its log.
func (r *Runner) closedToNew(step string) *structs.Refusal {
	if fenced := r.fenced.Load(); fenced != nil {
		refusal := *fenced
		refusal.Outcome = structs.OutcomeNotRun
		refusal.Step = step
		return &refusal
	}
	if r.draining.Load() {
		refusal := structs.Refusalf(structs.CodeDraining, structs.OutcomeNotRun, step, "entry %q takes no new work", r.cfg.Node)
		refusal.Peer = string(r.cfg.Node)
		refusal.RetryAfter = handOverRetryAfter
		return refusal
	}
	return nil
}

// overloaded refuses new work while there is too much of it here.
func (r *Runner) overloaded(s *shard, step string) *structs.Refusal {
	code, detail := structs.CodeOverloaded, "too many turns are under way"
	if s.records.backlog() > r.cfg.MaxBacklog {
		code, detail = structs.CodePlatformOutage, "the journal is behind"
	} else if r.turns.Load() < int64(r.cfg.MaxTurns) {
		return nil
	}
	refusal := structs.Refusalf(code, structs.OutcomeNotRun, step, "entry %q: %s", r.cfg.Node, detail)
	refusal.Peer = string(r.cfg.Node)
	refusal.RetryAfter = handOverRetryAfter
	return refusal
}

// Open opens a program and returns once the home log holds it. The same key of an
// organisation gives the same program as long as that has not ended.
func (r *Runner) Open(ctx context.Context, spec structs.ProgramSpec) (structs.ProgramID, error) {
	if spec.Parent != "" || spec.Depth != 0 {
		return "", structs.Refusalf(structs.CodeBadRequest, structs.OutcomeNotRun, stepOpen, "a caller's program has no parent")
	}
	spec = r.cfg.Program.SpecWithDefaults(spec)
	id, s, fresh, err := r.find(spec)
	if err != nil {
		return "", err
	}
	o, err := ask(ctx, s, func(s *shard) opening { return s.opening(id, spec, fresh) })
	if err != nil {
		return "", err
	}
	if o.refusal != nil {
		return "", o.refusal
	}
	ctx, cancel := context.WithTimeout(ctx, r.cfg.OpenWait)
	defer cancel()
	select {
	case <-o.kept:
		return id, nil
	case <-ctx.Done():
		refusal := structs.Refusalf(structs.CodePlatformOutage, structs.OutcomeUnknown, stepOpen,
			"program %q is not committed yet", id)
		refusal.Peer = string(r.cfg.Node)
		refusal.RetryAfter = handOverRetryAfter
		return "", refusal
	}
}

// find returns the program that the key opened, or a new id.
func (r *Runner) find(spec structs.ProgramSpec) (structs.ProgramID, *shard, bool, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := openKey{spec.Organisation, spec.Key}
	if old, found := r.keys[key]; found && spec.Key != "" {
		if old.spec != spec {
			return "", nil, false, structs.Refusalf(structs.CodeKeyReused, structs.OutcomeNotRun, stepOpen,
				"idempotency key %q opened program %q with another specification", spec.Key, old.program)
		}
		return old.program, r.shards[r.where[old.program]], false, nil
	}
	if refusal := r.closedToNew(stepOpen); refusal != nil {
		return "", nil, false, refusal
	}
	id := r.newID()
	i := r.place(id)
	if refusal := r.overloaded(r.shards[i], stepOpen); refusal != nil {
		return "", nil, false, refusal
	}
	r.where[id] = i
	if spec.Key != "" {
		r.keys[key] = opened{id, spec}
	}
	return id, r.shards[i], true, nil
}

// opening is a program on its way into the log, or the refusal to open it.
type opening struct {
	// kept is closed once the log holds the program.
	kept    <-chan struct{}
	refusal *structs.Refusal
}

func (s *shard) opening(id structs.ProgramID, spec structs.ProgramSpec, fresh bool) opening {
	slot := s.slots[id]
	switch {
	case s.dropped:
		return opening{refusal: s.r.closedToNew(stepOpen)}
	case slot == nil && !fresh:
		return opening{refusal: structs.Refusalf(structs.CodeProgramEnded, structs.OutcomeRan, stepOpen,
			"program %q of the key %q has ended", id, spec.Key)}
	case slot == nil:
		slot = s.open(id, spec)
	}
	if slot.kept == nil {
		return opening{kept: closedChannel}
	}
	return opening{kept: slot.kept}
}

// closedChannel stands for what has happened already.
var closedChannel = func() <-chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

// locate returns the shard of a program that the organisation may see; empty sees all.
func (r *Runner) locate(id structs.ProgramID, step string) (*shard, *structs.Refusal) {
	if s := r.shardOf(id); s != nil {
		return s, nil
	}
	return nil, r.notFound(id, step)
}

// notFound refuses a request to a program that does not run here. It may run elsewhere, or
// have ended: what became of an earlier request like this one is not known.
func (r *Runner) notFound(id structs.ProgramID, step string) *structs.Refusal {
	refusal := structs.Refusalf(structs.CodeNotFound, structs.OutcomeUnknown, step, "program %q does not run here", id)
	if r.fenced.Load() != nil {
		refusal = r.closedToNew(step)
		refusal.Outcome = structs.OutcomeUnknown
	}
	refusal.Peer = string(r.cfg.Node)
	return refusal
}

// visible returns the program's slot when the organisation may see it; empty sees all.
func (s *shard) visible(id structs.ProgramID, organisation structs.OrganisationID) *slot {
	slot := s.slots[id]
	if slot == nil || (organisation != "" && slot.machine.Spec().Organisation != organisation) {
		return nil
	}
	return slot
}

// Turn runs a turn, or joins one, and passes its events on until the answer. When event
// returns an error or ctx ends, the turn goes on without this caller.
func (r *Runner) Turn(ctx context.Context, turn home.Turn, event func(structs.TurnEvent) error) error {
	s, refusal := r.locate(turn.Program, stepTurn)
	if refusal != nil {
		return refusal
	}
	reply := make(chan submitted, 1)
	if err := s.tasks.Push(ctx, func(s *shard) { s.submit(turn, spanOf(ctx), reply) }); err != nil {
		return err
	}
	select {
	case answer := <-reply:
		if answer.refusal != nil {
			return answer.refusal
		}
		return answer.log.follow(ctx, event)
	case <-ctx.Done():
		return ctx.Err()
	case <-r.ctx.Done():
		return structs.Refusalf(structs.CodeNotReady, structs.OutcomeUnknown, stepTurn, "the process ends")
	}
}

// submit hands a caller's submission to the program.
func (s *shard) submit(turn home.Turn, span trace.SpanContext, reply chan<- submitted) {
	slot := s.visible(turn.Program, turn.Organisation)
	if slot == nil {
		reply <- submitted{refusal: s.r.notFound(turn.Program, stepTurn)}
		return
	}
	caller := s.r.caller.Add(1)
	if turn.Attach {
		slot.replies[caller] = reply
		s.step(turn.Program, program.Attach{Caller: caller, Number: turn.Number})
		return
	}
	if turn.Number == slot.machine.State().Turns+1 && !slot.machine.Running() {
		if refusal := s.admit(); refusal != nil {
			reply <- submitted{refusal: refusal}
			return
		}
	}
	slot.span = span
	slot.replies[caller] = reply
	s.step(turn.Program, program.SubmitTurn{
		Caller:  caller,
		Number:  turn.Number,
		Key:     turn.Key,
		Content: turn.Content,
		Timeout: s.patience(slot),
	})
}

// admit refuses a turn that would be new work.
func (s *shard) admit() *structs.Refusal {
	if refusal := s.r.closedToNew(stepTurn); refusal != nil {
		return refusal
	}
	return s.r.overloaded(s, stepTurn)
}

// patience returns the wait by the preset in force for a program that gives none itself.
func (s *shard) patience(slot *slot) time.Duration {
	spec := slot.machine.Spec()
	if spec.TurnTimeout > 0 || s.r.cfg.TurnTimeout == nil {
		return spec.TurnTimeout
	}
	return s.r.cfg.TurnTimeout(spec.Kind)
}

// Cancel ends the turn under way, if any.
func (r *Runner) Cancel(ctx context.Context, end home.End) error {
	return r.stepEnd(ctx, end, program.Cancel{})
}

// End ends a program. A turn under way is cancelled when end.Cancel is set, else the
// request is refused with turn_in_progress.
func (r *Runner) End(ctx context.Context, end home.End) error {
	return r.stepEnd(ctx, end, program.Close{})
}

func (r *Runner) stepEnd(ctx context.Context, end home.End, msg program.Message) error {
	s, refusal := r.locate(end.Program, stepTurn)
	if refusal != nil {
		return refusal
	}
	refusal, err := ask(ctx, s, func(s *shard) *structs.Refusal { return s.end(end, msg) })
	if err != nil {
		return err
	}
	if refusal != nil {
		return refusal
	}
	return nil
}

func (s *shard) end(end home.End, msg program.Message) *structs.Refusal {
	slot := s.visible(end.Program, end.Organisation)
	if slot == nil {
		return s.r.notFound(end.Program, stepTurn)
	}
	if _, closes := msg.(program.Close); closes && slot.machine.Running() && !end.Cancel {
		return structs.Refusalf(structs.CodeTurnInProgress, structs.OutcomeNotRun, stepTurn,
			"program %q has a turn under way", end.Program)
	}
	s.step(end.Program, msg)
	return nil
}

// Read returns one program.
func (r *Runner) Read(ctx context.Context, read home.Read) (structs.ProgramView, error) {
	s, refusal := r.locate(read.Program, stepRead)
	if refusal != nil {
		return structs.ProgramView{}, refusal
	}
	type found struct {
		view    structs.ProgramView
		history *program.History
	}
	f, err := ask(ctx, s, func(s *shard) *found {
		slot := s.visible(read.Program, read.Organisation)
		if slot == nil {
			return nil
		}
		return &found{s.view(slot), slot.machine.History()}
	})
	if err != nil {
		return structs.ProgramView{}, err
	}
	if f == nil {
		return structs.ProgramView{}, r.notFound(read.Program, stepRead)
	}
	if read.History {
		f.view.History, err = f.history.Messages()
	}
	return f.view, err
}

func (s *shard) view(slot *slot) structs.ProgramView {
	state := slot.machine.State()
	return structs.ProgramView{
		ID:     state.Program,
		Spec:   state.Spec,
		State:  state.State,
		Turns:  state.Turns,
		Usage:  state.Usage,
		Digest: state.Digest,
		Home:   s.r.cfg.Node,
	}
}

// List returns the programs that run here, in the order of their ids.
func (r *Runner) List(ctx context.Context, list home.List) ([]structs.ProgramView, error) {
	var views []structs.ProgramView
	for _, s := range r.shards {
		part, err := ask(ctx, s, func(s *shard) []structs.ProgramView { return s.list(list) })
		if err != nil {
			return nil, err
		}
		views = append(views, part...)
	}
	slices.SortFunc(views, func(a, b structs.ProgramView) int { return strings.Compare(string(a.ID), string(b.ID)) })
	if list.Limit > 0 && len(views) > list.Limit {
		views = views[:list.Limit]
	}
	return views, nil
}

func (s *shard) list(list home.List) []structs.ProgramView {
	var views []structs.ProgramView
	for _, id := range sortedIDs(s.slots) {
		if slot := s.visible(id, list.Organisation); slot != nil && id > list.After {
			views = append(views, s.view(slot))
		}
		if list.Limit > 0 && len(views) == list.Limit {
			break
		}
	}
	return views
}

// sortedIDs returns the keys in order, so that the map's own order decides nothing.
func sortedIDs[T any](m map[structs.ProgramID]T) []structs.ProgramID {
	ids := make([]structs.ProgramID, 0, len(m))
	for id := range m {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func sortByProgram(entries []homelog.Entry) {
	slices.SortFunc(entries, func(a, b homelog.Entry) int { return strings.Compare(string(a.Program), string(b.Program)) })
}
