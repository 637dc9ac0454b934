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

// Names of the steps in refusals.
const (
	stepOpen = "open program"
	stepTurn = "turn"
	stepRead = "read program"
)

// newWorkRefusal returns a refusal of new work when this process is draining or no longer
// runs the programs of its log. Otherwise it returns nil.
func (r *Runner) newWorkRefusal(step string) *structs.Refusal {
	if fenced := r.fenced.Load(); fenced != nil {
		refusal := *fenced
		refusal.Outcome = structs.OutcomeNotRun
		refusal.Step = step
		return &refusal
	}
	if r.draining.Load() {
		refusal := structs.Refusalf(structs.CodeDraining, structs.OutcomeNotRun, step, "entry %q takes no new work", r.cfg.Node)
		refusal.Peer = string(r.cfg.Node)
		refusal.RetryAfter = refusalRetryAfter
		return refusal
	}
	return nil
}

// overloadRefusal returns a refusal of new work while too many turns are running or the
// shard's backlog of records is too large. Otherwise it returns nil.
func (r *Runner) overloadRefusal(s *shard, step string) *structs.Refusal {
	code, detail := structs.CodeOverloaded, "too many turns are under way"
	if s.appender.backlog() > r.cfg.MaxBacklog {
		code, detail = structs.CodePlatformOutage, "the journal is behind"
	} else if r.runningTurns.Load() < int64(r.cfg.MaxTurns) {
		return nil
	}
	refusal := structs.Refusalf(code, structs.OutcomeNotRun, step, "entry %q: %s", r.cfg.Node, detail)
	refusal.Peer = string(r.cfg.Node)
	refusal.RetryAfter = refusalRetryAfter
	return refusal
}

// Open opens a program and returns its ID once its first record is committed. A second open
// with the same idempotency key of an organisation returns the same program until the end of that
// program is committed. After that the key opens a new program.
func (r *Runner) Open(ctx context.Context, spec structs.ProgramSpec) (structs.ProgramID, error) {
	if spec.Parent != "" || spec.Depth != 0 {
		return "", structs.Refusalf(structs.CodeBadRequest, structs.OutcomeNotRun, stepOpen, "a caller's program has no parent")
	}
	spec = r.cfg.Program.SpecWithDefaults(spec)
	id, s, isNew, err := r.findOrAllocate(spec)
	if err != nil {
		return "", err
	}
	o, err := runOn(ctx, s, func(s *shard) pendingOpen { return s.beginOpen(id, spec, isNew) })
	if err != nil {
		return "", err
	}
	if o.refusal != nil {
		return "", o.refusal
	}
	ctx, cancel := context.WithTimeout(ctx, r.cfg.OpenTimeout)
	defer cancel()
	select {
	case <-o.durable:
		return id, nil
	case <-ctx.Done():
		refusal := structs.Refusalf(structs.CodePlatformOutage, structs.OutcomeUnknown, stepOpen,
			"program %q is not committed yet", id)
		refusal.Peer = string(r.cfg.Node)
		refusal.RetryAfter = refusalRetryAfter
		return "", refusal
	}
}

// findOrAllocate returns the ID and the shard of the program that the key opened. If there is
// none, it allocates a new ID; the bool reports whether the ID is new. It refuses a key that
// opened a program with another specification, and new programs as newWorkRefusal and
// overloadRefusal do.
func (r *Runner) findOrAllocate(spec structs.ProgramSpec) (structs.ProgramID, *shard, bool, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := openKey{spec.Organisation, spec.Key}
	if old, found := r.openKeys[key]; found && spec.Key != "" {
		if old.spec != spec {
			return "", nil, false, structs.Refusalf(structs.CodeKeyReused, structs.OutcomeNotRun, stepOpen,
				"idempotency key %q opened program %q with another specification", spec.Key, old.program)
		}
		return old.program, r.shards[r.shardIndex[old.program]], false, nil
	}
	if refusal := r.newWorkRefusal(stepOpen); refusal != nil {
		return "", nil, false, refusal
	}
	id := r.newID()
	i := r.assignShard(id)
	if refusal := r.overloadRefusal(r.shards[i], stepOpen); refusal != nil {
		return "", nil, false, refusal
	}
	r.shardIndex[id] = i
	if spec.Key != "" {
		r.openKeys[key] = openedProgram{id, spec}
	}
	return id, r.shards[i], true, nil
}

// pendingOpen is a program whose first record may not be committed yet, or the refusal to open it.
type pendingOpen struct {
	// durable is closed once the program's first record is committed.
	durable <-chan struct{}
	refusal *structs.Refusal
}

// beginOpen starts a new program, or finds one that was opened with the same key. It refuses if
// that program is not on the shard any more, or if the shard has dropped its programs.
func (s *shard) beginOpen(id structs.ProgramID, spec structs.ProgramSpec, isNew bool) pendingOpen {
	slot := s.slots[id]
	switch {
	case s.dropped:
		// Programs are dropped only after fenced is set, so there is a refusal.
		return pendingOpen{refusal: s.r.newWorkRefusal(stepOpen)}
	case slot == nil && !isNew:
		return pendingOpen{refusal: structs.Refusalf(structs.CodeProgramEnded, structs.OutcomeRan, stepOpen,
			"program %q of the key %q has ended", id, spec.Key)}
	case slot == nil:
		slot = s.startProgram(id, spec)
	}
	if slot.durable == nil {
		return pendingOpen{durable: closedChannel}
	}
	return pendingOpen{durable: slot.durable}
}

// closedChannel is the durable channel of a program that is committed already.
var closedChannel = func() <-chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

// shardFor returns the shard that runs the program, or a refusal if it does not run here.
func (r *Runner) shardFor(id structs.ProgramID, step string) (*shard, *structs.Refusal) {
	if s := r.shardOf(id); s != nil {
		return s, nil
	}
	return nil, r.notFoundRefusal(id, step)
}

// notFoundRefusal returns the refusal of a request to a program that does not run here. The program
// may run elsewhere or have ended. Its outcome is unknown because an earlier attempt at the
// same request may have taken effect.
func (r *Runner) notFoundRefusal(id structs.ProgramID, step string) *structs.Refusal {
	refusal := structs.Refusalf(structs.CodeNotFound, structs.OutcomeUnknown, step, "program %q does not run here", id)
	if r.fenced.Load() != nil {
		refusal = r.newWorkRefusal(step)
		refusal.Outcome = structs.OutcomeUnknown
	}
	refusal.Peer = string(r.cfg.Node)
	return refusal
}

// visibleSlot returns the slot of the program, or nil if it is not on this shard or belongs to
// another organisation. An empty organisation may access all programs.
func (s *shard) visibleSlot(id structs.ProgramID, organisation structs.OrganisationID) *slot {
	slot := s.slots[id]
	if slot == nil || (organisation != "" && slot.machine.Spec().Organisation != organisation) {
		return nil
	}
	return slot
}

// Turn starts a turn or attaches to a running one, and passes its events to event until the turn
// has ended. When event returns an error or ctx ends, Turn returns and the turn continues.
func (r *Runner) Turn(ctx context.Context, turn home.Turn, event func(structs.TurnEvent) error) error {
	s, refusal := r.shardFor(turn.Program, stepTurn)
	if refusal != nil {
		return refusal
	}
	reply := make(chan submitResult, 1)
	if err := s.tasks.Push(ctx, func(s *shard) { s.submit(turn, spanOf(ctx), reply) }); err != nil {
		return err
	}
	select {
	case result := <-reply:
		if result.refusal != nil {
			return result.refusal
		}
		return result.stream.follow(ctx, event)
	case <-ctx.Done():
		return ctx.Err()
	case <-r.ctx.Done():
		return structs.Refusalf(structs.CodeNotReady, structs.OutcomeUnknown, stepTurn, "the process ends")
	}
}

// submit passes a caller's submission to the program. The result is sent to reply.
func (s *shard) submit(turn home.Turn, span trace.SpanContext, reply chan<- submitResult) {
	slot := s.visibleSlot(turn.Program, turn.Organisation)
	if slot == nil {
		reply <- submitResult{refusal: s.r.notFoundRefusal(turn.Program, stepTurn)}
		return
	}
	caller := s.r.lastCaller.Add(1)
	if turn.Attach {
		slot.replies[caller] = reply
		s.step(turn.Program, program.Attach{Caller: caller, Number: turn.Number})
		return
	}
	// A turn is new work only if it is the next one and not running yet. The machine answers,
	// joins or rejects any other.
	if turn.Number == slot.machine.State().Turns+1 && !slot.machine.Running() {
		if refusal := s.admitTurn(); refusal != nil {
			reply <- submitResult{refusal: refusal}
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
		Timeout: s.turnTimeout(slot),
	})
}

// admitTurn returns a refusal if the shard may not start a new turn, otherwise nil.
func (s *shard) admitTurn() *structs.Refusal {
	if refusal := s.r.newWorkRefusal(stepTurn); refusal != nil {
		return refusal
	}
	return s.r.overloadRefusal(s, stepTurn)
}

// turnTimeout returns the turn timeout of the program's specification. If that has none, it
// returns the one of the preset in force; 0 means the default of the program's machine.
func (s *shard) turnTimeout(slot *slot) time.Duration {
	spec := slot.machine.Spec()
	if spec.TurnTimeout > 0 || s.r.cfg.TurnTimeout == nil {
		return spec.TurnTimeout
	}
	return s.r.cfg.TurnTimeout(spec.Kind)
}

// Cancel cancels the running turn of a program, if any.
func (r *Runner) Cancel(ctx context.Context, end home.End) error {
	return r.requestEnd(ctx, end, program.Cancel{})
}

// End ends a program. If a turn is running, it is cancelled when end.Cancel is set, and
// otherwise the request is refused with turn_in_progress.
func (r *Runner) End(ctx context.Context, end home.End) error {
	return r.requestEnd(ctx, end, program.Close{})
}

// requestEnd passes msg, a Cancel or a Close, to the program on its shard.
func (r *Runner) requestEnd(ctx context.Context, end home.End, msg program.Message) error {
	s, refusal := r.shardFor(end.Program, stepTurn)
	if refusal != nil {
		return refusal
	}
	refusal, err := runOn(ctx, s, func(s *shard) *structs.Refusal { return s.endProgram(end, msg) })
	if err != nil {
		return err
	}
	if refusal != nil {
		return refusal
	}
	return nil
}

// endProgram passes a Cancel or a Close to the program. It refuses a Close during a turn unless
// end.Cancel is set.
func (s *shard) endProgram(end home.End, msg program.Message) *structs.Refusal {
	slot := s.visibleSlot(end.Program, end.Organisation)
	if slot == nil {
		return s.r.notFoundRefusal(end.Program, stepTurn)
	}
	if _, closes := msg.(program.Close); closes && slot.machine.Running() && !end.Cancel {
		return structs.Refusalf(structs.CodeTurnInProgress, structs.OutcomeNotRun, stepTurn,
			"program %q has a turn under way", end.Program)
	}
	s.step(end.Program, msg)
	return nil
}

// Read returns the state of one program, with its history if read.History is set.
func (r *Runner) Read(ctx context.Context, read home.Read) (structs.ProgramView, error) {
	s, refusal := r.shardFor(read.Program, stepRead)
	if refusal != nil {
		return structs.ProgramView{}, refusal
	}
	type found struct {
		view    structs.ProgramView
		history *program.History
	}
	f, err := runOn(ctx, s, func(s *shard) *found {
		slot := s.visibleSlot(read.Program, read.Organisation)
		if slot == nil {
			return nil
		}
		return &found{s.programView(slot), slot.machine.History()}
	})
	if err != nil {
		return structs.ProgramView{}, err
	}
	if f == nil {
		return structs.ProgramView{}, r.notFoundRefusal(read.Program, stepRead)
	}
	if read.History {
		f.view.History, err = f.history.Messages()
	}
	return f.view, err
}

func (s *shard) programView(slot *slot) structs.ProgramView {
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

// List returns the programs that run here, in the order of their IDs.
func (r *Runner) List(ctx context.Context, list home.List) ([]structs.ProgramView, error) {
	var views []structs.ProgramView
	for _, s := range r.shards {
		part, err := runOn(ctx, s, func(s *shard) []structs.ProgramView { return s.list(list) })
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

// list returns the programs on this shard that the request selects, in the order of their IDs.
func (s *shard) list(list home.List) []structs.ProgramView {
	var views []structs.ProgramView
	for _, id := range sortedIDs(s.slots) {
		if slot := s.visibleSlot(id, list.Organisation); slot != nil && id > list.After {
			views = append(views, s.programView(slot))
		}
		if list.Limit > 0 && len(views) == list.Limit {
			break
		}
	}
	return views
}

// sortedIDs returns the keys in order. Map iteration order is random, and the order in which
// programs are processed must not depend on it.
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
