package peer

import (
	"time"

	"google.golang.org/protobuf/types/known/durationpb"
	"google.golang.org/protobuf/types/known/timestamppb"

	"github.com/buckthornroute/buckthornroute/internal/peer/peerpb"
	"github.com/buckthornroute/buckthornroute/structs"
)

// MessagesToPB converts conversation messages to their wire form.
func MessagesToPB(ms []structs.Message) []*peerpb.Message {
	out := make([]*peerpb.Message, len(ms))
	for i, m := range ms {
		out[i] = MessageToPB(m)
	}
	return out
}

// MessageToPB converts one conversation message to its wire form.
func MessageToPB(m structs.Message) *peerpb.Message {
	out := &peerpb.Message{Role: string(m.Role), Content: m.Content, ToolCallId: m.ToolCallID}
	for _, c := range m.ToolCalls {
		out.ToolCalls = append(out.ToolCalls, &peerpb.ToolCall{Id: c.ID, Name: c.Name, Arguments: c.Arguments})
	}
	return out
}

// MessagesFromPB converts conversation messages from their wire form.
func MessagesFromPB(ms []*peerpb.Message) []structs.Message {
	out := make([]structs.Message, len(ms))
	for i, m := range ms {
		out[i] = MessageFromPB(m)
	}
	return out
}

// MessageFromPB converts one conversation message from its wire form; nil becomes the
// zero message.
func MessageFromPB(m *peerpb.Message) structs.Message {
	out := structs.Message{Role: structs.Role(m.GetRole()), Content: m.GetContent(), ToolCallID: m.GetToolCallId()}
	for _, c := range m.GetToolCalls() {
		out.ToolCalls = append(out.ToolCalls, structs.ToolCall{ID: c.GetId(), Name: c.GetName(), Arguments: c.GetArguments()})
	}
	return out
}

// UsageToPB converts usage to its wire form.
func UsageToPB(u structs.Usage) *peerpb.Usage {
	return &peerpb.Usage{
		PromptTokens:    u.PromptTokens,
		CachedTokens:    u.CachedTokens,
		GeneratedTokens: u.GeneratedTokens,
		Calls:           u.Calls,
		ToolTime:        durationpb.New(u.ToolTime),
		Agents:          u.Agents,
	}
}

// UsageFromPB converts usage from its wire form.
func UsageFromPB(u *peerpb.Usage) structs.Usage {
	return structs.Usage{
		PromptTokens:    u.GetPromptTokens(),
		CachedTokens:    u.GetCachedTokens(),
		GeneratedTokens: u.GetGeneratedTokens(),
		Calls:           u.GetCalls(),
		ToolTime:        u.GetToolTime().AsDuration(),
		Agents:          u.GetAgents(),
	}
}

// LoadToPB converts a load report to its wire form, in which the eviction age is called
// turnover.
func LoadToPB(l structs.Load) *peerpb.Load {
	return &peerpb.Load{
		Upstream:            string(l.Upstream),
		Vm:                  string(l.VM),
		Domain:              string(l.Domain),
		Kind:                string(l.Kind),
		Models:              l.Models,
		Running:             int32(l.Running),
		Queued:              int32(l.Queued),
		QueuedPrefillTokens: l.QueuedPrefillTokens,
		BatchLimit:          int32(l.BatchLimit),
		KvUsedTokens:        l.KVUsedTokens,
		KvLimitTokens:       l.KVLimitTokens,
		PrefillRate:         l.PrefillRate,
		StepTime:            durationpb.New(l.StepTime),
		Draining:            l.Draining,
		Sequence:            l.Sequence,
		Incarnation:         l.Incarnation,
		HeldTokens:          l.HeldTokens,
		Turnover:            durationpb.New(l.EvictionAge),
	}
}

// LoadFromPB converts a load report from its wire form.
func LoadFromPB(l *peerpb.Load) structs.Load {
	return structs.Load{
		Upstream:            structs.UpstreamID(l.GetUpstream()),
		VM:                  structs.VMID(l.GetVm()),
		Domain:              structs.FailureDomain(l.GetDomain()),
		Kind:                structs.UpstreamKind(l.GetKind()),
		Models:              l.GetModels(),
		Running:             int(l.GetRunning()),
		Queued:              int(l.GetQueued()),
		QueuedPrefillTokens: l.GetQueuedPrefillTokens(),
		BatchLimit:          int(l.GetBatchLimit()),
		KVUsedTokens:        l.GetKvUsedTokens(),
		KVLimitTokens:       l.GetKvLimitTokens(),
		PrefillRate:         l.GetPrefillRate(),
		StepTime:            l.GetStepTime().AsDuration(),
		Draining:            l.GetDraining(),
		Sequence:            l.GetSequence(),
		Incarnation:         l.GetIncarnation(),
		HeldTokens:          l.GetHeldTokens(),
		EvictionAge:         l.GetTurnover().AsDuration(),
	}
}

// SpecToPB converts a program's specification to its wire form, in which the turn
// timeout is called patience. The wire form has neither the parent, which ViewToPB adds,
// nor the depth.
func SpecToPB(s structs.ProgramSpec) *peerpb.ProgramSpec {
	return &peerpb.ProgramSpec{
		Organisation: string(s.Organisation),
		Kind:         s.Kind,
		Model:        s.Model,
		System:       s.System,
		Budget: &peerpb.Budget{
			Tokens:   s.Budget.Tokens,
			Calls:    s.Budget.Calls,
			ToolTime: durationpb.New(s.Budget.ToolTime),
			Depth:    int32(s.Budget.Depth),
			Agents:   s.Budget.Agents,
		},
		Patience: durationpb.New(s.TurnTimeout),
		Key:      s.Key,
	}
}

// SpecFromPB converts a program's specification from its wire form; parent and depth stay
// empty.
func SpecFromPB(s *peerpb.ProgramSpec) structs.ProgramSpec {
	b := s.GetBudget()
	return structs.ProgramSpec{
		Organisation: structs.OrganisationID(s.GetOrganisation()),
		Kind:         s.GetKind(),
		Model:        s.GetModel(),
		System:       s.GetSystem(),
		Budget: structs.Budget{
			Tokens:   b.GetTokens(),
			Calls:    b.GetCalls(),
			ToolTime: b.GetToolTime().AsDuration(),
			Depth:    int(b.GetDepth()),
			Agents:   b.GetAgents(),
		},
		TurnTimeout: s.GetPatience().AsDuration(),
		Key:         s.GetKey(),
	}
}

// DigestFromBytes returns the conversation digest with the bytes b, or the zero digest if b has the
// wrong length.
func DigestFromBytes(b []byte) structs.ConversationDigest {
	var d structs.ConversationDigest
	if len(b) == len(d) {
		copy(d[:], b)
	}
	return d
}

// timeToPB converts a time to its wire form; the zero time becomes nil.
func timeToPB(t time.Time) *timestamppb.Timestamp {
	if t.IsZero() {
		return nil
	}
	return timestamppb.New(t)
}

// timeFromPB converts a time from its wire form; nil becomes the zero time.
func timeFromPB(t *timestamppb.Timestamp) time.Time {
	if t == nil {
		return time.Time{}
	}
	return t.AsTime()
}

// CallToPB converts a model call to its wire form. It leaves out Messages, of which the
// entry sends only those that the side lacks, and HomeAttempt, which only the home uses.
func CallToPB(c *structs.ModelCall) *peerpb.CallModelRequest {
	return &peerpb.CallModelRequest{
		Call:         string(c.Call),
		Attempt:      c.Attempt,
		Program:      string(c.Program),
		Organisation: string(c.Organisation),
		Kind:         c.Kind,
		Model:        c.Model,
		Digest:       c.Digest[:],
		MaxTokens:    int32(c.MaxTokens),
		Attained:     c.Attained,
		Deadline:     timeToPB(c.Deadline),
		Turn:         c.Turn,
	}
}

// CallFromPB converts a model call from its wire form; Messages and HomeAttempt stay empty.
func CallFromPB(c *peerpb.CallModelRequest) *structs.ModelCall {
	return &structs.ModelCall{
		Call:         structs.CallID(c.GetCall()),
		Attempt:      c.GetAttempt(),
		Program:      structs.ProgramID(c.GetProgram()),
		Organisation: structs.OrganisationID(c.GetOrganisation()),
		Kind:         c.GetKind(),
		Model:        c.GetModel(),
		Digest:       DigestFromBytes(c.GetDigest()),
		MaxTokens:    int(c.GetMaxTokens()),
		Attained:     c.GetAttained(),
		Deadline:     timeFromPB(c.GetDeadline()),
		Turn:         c.GetTurn(),
	}
}

// DurationToPB converts a duration to its wire form.
func DurationToPB(d time.Duration) *durationpb.Duration { return durationpb.New(d) }
