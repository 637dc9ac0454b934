package entry

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/buckthornroute/buckthornroute/internal/eventlog"
	"github.com/buckthornroute/buckthornroute/internal/peer/peerpb"
	"github.com/buckthornroute/buckthornroute/internal/platform"
	"github.com/buckthornroute/buckthornroute/internal/ring"
	"github.com/buckthornroute/buckthornroute/preset"
	"github.com/buckthornroute/buckthornroute/structs"
)

// presetTick is the time between two ticks of the preset machine.
const presetTick = 50 * time.Millisecond

// presetInboxSize bounds the messages that wait for the preset machine.
const presetInboxSize = 256

// presets is the driver of the preset machine. The machine tracks the preset in force
// and switches it on an operator's request.
type presets struct {
	table   platform.Table
	logger  *eventlog.Logger
	send    func(to structs.NodeID, e *peerpb.Envelope)
	apply   func(structs.PresetInForce)
	inbox   *ring.Ring[preset.Message]
	cfg     preset.Config
	workers sync.WaitGroup
	// lastID is the id of the latest Switch call.
	lastID atomic.Uint64

	// inForce is the preset that the machine applied last.
	inForce atomic.Pointer[structs.PresetInForce]

	mu      sync.Mutex
	machine *preset.Machine
	// waiting holds the channels of the Switch calls that wait for their result, by id.
	waiting map[uint64]chan switchResult
}

// switchResult is the result of an operator's switch; refusal is nil for a success.
type switchResult struct {
	version uint64
	refusal *structs.Refusal
}

func newPresets(cfg preset.Config, table platform.Table, log *eventlog.Logger, send func(structs.NodeID, *peerpb.Envelope), apply func(structs.PresetInForce)) *presets {
	p := &presets{
		table:   table,
		logger:  log,
		send:    send,
		apply:   apply,
		cfg:     cfg,
		inbox:   ring.New[preset.Message](presetInboxSize),
		machine: preset.New(cfg, time.Now()),
		waiting: map[uint64]chan switchResult{},
	}
	p.inForce.Store(&structs.PresetInForce{})
	return p
}

// run passes messages and ticks to the machine until ctx ends.
func (p *presets) run(ctx context.Context) error {
	ticker := time.NewTicker(presetTick)
	defer ticker.Stop()
	defer p.workers.Wait()
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				p.inbox.TryPush(preset.Tick{})
			}
		}
	}()
	for {
		msg, err := p.inbox.Pop(ctx)
		if err != nil {
			return nil
		}
		for _, effect := range p.step(msg) {
			p.carryOut(ctx, effect)
		}
	}
}

func (p *presets) step(msg preset.Message) []preset.Effect {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.machine.Step(time.Now(), msg)
}

// carryOut carries out one effect of the machine. Reads and writes of the platform run
// in goroutines and report their result to the inbox.
func (p *presets) carryOut(ctx context.Context, effect preset.Effect) {
	switch e := effect.(type) {
	case preset.Read:
		p.workers.Go(func() { p.read(ctx, e) })
	case preset.Write:
		p.workers.Go(func() { p.write(ctx, e) })
	case preset.Send:
		p.sendTo(e)
	case preset.Apply:
		inForce := e.InForce
		p.inForce.Store(&inForce)
		p.apply(inForce)
	case preset.Freshness:
		p.logFreshness(e)
	case preset.RowInvalid:
		p.logger.Emit(eventlog.PresetRowInvalid, eventlog.Fields{Step: "read preset", Err: e.Err})
	case preset.Switched:
		p.logSwitched(e)
		p.finishSwitch(e.ID, switchResult{version: e.Version, refusal: switchUnconfirmed(e)})
	case preset.SwitchRefused:
		p.logRefused(e.Refusal)
		p.finishSwitch(e.ID, switchResult{refusal: e.Refusal})
	}
}

func (p *presets) logFreshness(e preset.Freshness) {
	event := eventlog.PresetFresh
	if !e.Fresh {
		event = eventlog.PresetStale
	}
	p.logger.Emit(event, eventlog.Fields{Step: "preset", Took: time.Since(e.ProvenAt)})
}

func (p *presets) logSwitched(e preset.Switched) {
	event := eventlog.PresetAccepted
	if !e.Accepted {
		event = eventlog.PresetUnknown
	}
	p.logger.Emit(event, eventlog.Fields{Step: "switch preset", Count: int64(e.Version)})
}

func (p *presets) logRefused(r *structs.Refusal) {
	event := eventlog.PresetConflict
	if r.Outcome == structs.OutcomeUnknown {
		event = eventlog.PresetUnknown
	}
	p.logger.Emit(event, eventlog.Fields{Step: "switch preset", Err: r})
}

// switchUnconfirmed returns the refusal of a switch that is written but not yet confirmed
// by a majority, or nil. The preset comes into force as the missing nodes are reached.
func switchUnconfirmed(e preset.Switched) *structs.Refusal {
	if e.Accepted {
		return nil
	}
	names := make([]string, len(e.Missing))
	for i, n := range e.Missing {
		names[i] = string(n)
	}
	return structs.Refusalf(structs.CodeConflict, structs.OutcomeUnknown, "switch preset",
		"version %d is written but these nodes did not confirm it: %s", e.Version, strings.Join(names, ", "))
}

// read reads the platform's row that names the preset in force.
func (p *presets) read(ctx context.Context, e preset.Read) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	row, err := p.table.Get(ctx, preset.InForceKey)
	done := preset.ReadDone{Number: e.Number, RowVersion: row.Version, Value: row.Value}
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		done.Failed = true
	}
	p.push(ctx, done)
}

// write replaces the row that names the preset in force if it still has the expected row version.
func (p *presets) write(ctx context.Context, e preset.Write) {
	writeContext, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	err := p.table.Apply(writeContext, platform.Txn{
		Conditions: []platform.Condition{{Key: preset.InForceKey, Version: e.ExpectedRowVersion}},
		Writes:     []platform.Write{{Key: preset.InForceKey, Value: e.Value}},
	})
	p.push(ctx, preset.WriteDone{Number: e.Number, Result: writeResult(err)})
}

// writeResult converts the error of a conditional write to the machine's result.
func writeResult(err error) preset.WriteResult {
	switch {
	case err == nil:
		return preset.WriteApplied
	case errors.Is(err, platform.ErrConditionFailed):
		return preset.WriteConflict
	case errors.Is(err, platform.ErrNotApplied):
		return preset.WriteNotApplied
	}
	return preset.WriteUnknown
}

func (p *presets) push(ctx context.Context, msg preset.Message) {
	_ = p.inbox.Push(ctx, msg) // fails only when the process ends
}

// Kinds of the preset machine's messages.
const (
	kindPull      = "ask"
	kindPullReply = "answer"
	kindPush      = "push"
	kindPushAck   = "seen"
)

func (p *presets) sendTo(e preset.Send) {
	kind := ""
	switch e.Message.(type) {
	case preset.Pull:
		kind = kindPull
	case preset.PullReply:
		kind = kindPullReply
	case preset.Push:
		kind = kindPush
	case preset.PushAck:
		kind = kindPushAck
	}
	env, err := envelope(machinePreset, kind, e.Message)
	if err != nil {
		p.logger.Emit(eventlog.PresetRowInvalid, eventlog.Fields{Step: "send preset", Peer: string(e.To), Err: err})
		return
	}
	p.send(e.To, env)
}

// receive queues a message from the preset machine of another entry. It drops the message
// if the inbox is full.
func (p *presets) receive(from structs.NodeID, env *peerpb.Envelope) error {
	message, err := decodePreset(env.GetKind(), env.GetBody())
	if err != nil {
		return err
	}
	p.inbox.TryPush(preset.Received{From: from, Message: message})
	return nil
}

func decodePreset(kind string, body []byte) (preset.PeerMessage, error) {
	switch kind {
	case kindPull:
		return decodeAs[preset.Pull](body)
	case kindPullReply:
		return decodeAs[preset.PullReply](body)
	case kindPush:
		return decodeAs[preset.Push](body)
	case kindPushAck:
		return decodeAs[preset.PushAck](body)
	}
	return nil, errors.Wrapf(ErrUnknownMessage, "kind %q of machine %q", kind, machinePreset)
}

func decodeAs[T any](body []byte) (T, error) {
	var message T
	err := json.Unmarshal(body, &message)
	return message, errors.Wrapf(err, "message %T", message)
}

// setMembers passes the names of the known entries to the machine.
func (p *presets) setMembers(nodes []structs.NodeID) {
	nodes = slices.Clone(nodes)
	p.inbox.TryPush(preset.Members{Nodes: nodes})
}

// versionReceived passes the preset version of a peer's message to the machine.
func (p *presets) versionReceived(from structs.NodeID, version uint64) {
	p.inbox.TryPush(preset.VersionReceived{From: from, Version: version})
}

// ready reports whether the freshness proof of the preset in force is recent enough to
// take new work. After a long pause of the process it is too old until it is renewed.
func (p *presets) ready() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.machine.Fresh(time.Now())
}

// Put stores the definition of a preset.
func (p *presets) Put(ctx context.Context, definition structs.Preset) error {
	value, err := json.Marshal(definition)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	err = p.table.Apply(ctx, platform.Txn{Writes: []platform.Write{{Key: preset.DefinitionKey(definition.Name), Value: value}}})
	return platformRefusal(err, "put preset")
}

// Switch puts the named preset in force and waits until a majority of the voters has
// confirmed it.
func (p *presets) Switch(ctx context.Context, name, operator string, expectedVersion uint64) (structs.PresetInForce, error) {
	definition, err := p.Definition(ctx, name)
	if err != nil {
		return structs.PresetInForce{}, err
	}
	id := p.lastID.Add(1)
	result := make(chan switchResult, 1)
	p.mu.Lock()
	p.waiting[id] = result
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		delete(p.waiting, id)
		p.mu.Unlock()
	}()
	order := preset.Switch{ID: id, Operator: operator, Nonce: uuid.NewString(), Preset: definition, ExpectedVersion: expectedVersion}
	if err := p.inbox.Push(ctx, order); err != nil {
		return structs.PresetInForce{}, err
	}
	select {
	case <-ctx.Done():
		return structs.PresetInForce{}, ctx.Err()
	case r := <-result:
		if r.refusal != nil {
			return structs.PresetInForce{}, r.refusal
		}
		return structs.PresetInForce{Version: r.version, Preset: definition}, nil
	}
}

// finishSwitch passes the result to the Switch call with the id, if it still waits.
func (p *presets) finishSwitch(id uint64, result switchResult) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if waiting := p.waiting[id]; waiting != nil {
		waiting <- result
		delete(p.waiting, id)
	}
}

// Definition returns the stored preset of that name.
func (p *presets) Definition(ctx context.Context, name string) (structs.Preset, error) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	var definition structs.Preset
	row, err := p.table.Get(ctx, preset.DefinitionKey(name))
	if errors.Is(err, platform.ErrNotFound) {
		return definition, structs.Refusalf(structs.CodeNotFound, structs.OutcomeNotRun, "read preset", "preset %q does not exist", name)
	}
	if err != nil {
		return definition, platformRefusal(err, "read preset")
	}
	if err := json.Unmarshal(row.Value, &definition); err != nil {
		return definition, errors.Wrapf(err, "definition of preset %q", name)
	}
	return definition, nil
}

// maxDefinitions bounds the number of presets in one listing.
const maxDefinitions = 1000

// Definitions returns the stored presets, ordered by name.
func (p *presets) Definitions(ctx context.Context) ([]structs.Preset, error) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	rows, err := p.table.Scan(ctx, preset.DefinitionPrefix(), "", maxDefinitions)
	if err != nil {
		return nil, platformRefusal(err, "list presets")
	}
	out := make([]structs.Preset, 0, len(rows))
	for _, row := range rows {
		var definition structs.Preset
		if err := json.Unmarshal(row.Value, &definition); err != nil {
			return nil, errors.Wrapf(err, "row %q", row.Key)
		}
		out = append(out, definition)
	}
	return out, nil
}

// define stores those definitions that are not yet stored on the platform.
func (p *presets) define(ctx context.Context, definitions []structs.Preset) error {
	for _, definition := range definitions {
		value, err := json.Marshal(definition)
		if err != nil {
			return err
		}
		key := preset.DefinitionKey(definition.Name)
		err = p.table.Apply(ctx, platform.Txn{
			Conditions: []platform.Condition{{Key: key, Version: platform.Absent}},
			Writes:     []platform.Write{{Key: key, Value: value}},
		})
		if err != nil && !errors.Is(err, platform.ErrConditionFailed) {
			return errors.Wrapf(err, "define preset %q", definition.Name)
		}
	}
	return nil
}
