package peer

import (
	"github.com/buckthornroute/buckthornroute/internal/peer/peerpb"
	"github.com/buckthornroute/buckthornroute/structs"
)

// ViewToPB converts a program's view to its wire form, which has the parent outside the
// specification.
func ViewToPB(v structs.ProgramView) *peerpb.Program {
	return &peerpb.Program{
		Id:      string(v.ID),
		Spec:    SpecToPB(v.Spec),
		State:   string(v.State),
		Turns:   v.Turns,
		Usage:   UsageToPB(v.Usage),
		Digest:  v.Digest[:],
		History: MessagesToPB(v.History),
		Parent:  string(v.Spec.Parent),
		Home:    string(v.Home),
	}
}

// ViewFromPB converts a program's view from its wire form.
func ViewFromPB(p *peerpb.Program) structs.ProgramView {
	view := structs.ProgramView{
		ID:     structs.ProgramID(p.GetId()),
		Spec:   SpecFromPB(p.GetSpec()),
		State:  structs.ProgramState(p.GetState()),
		Turns:  p.GetTurns(),
		Usage:  UsageFromPB(p.GetUsage()),
		Digest: DigestFromBytes(p.GetDigest()),
		Home:   structs.NodeID(p.GetHome()),
	}
	view.Spec.Parent = structs.ProgramID(p.GetParent())
	if len(p.GetHistory()) > 0 {
		view.History = MessagesFromPB(p.GetHistory())
	}
	return view
}

// TurnEventToPB converts an event of a turn to its wire form, in which a durable answer
// is marked as kept.
func TurnEventToPB(e structs.TurnEvent) *peerpb.TurnEvent {
	out := &peerpb.TurnEvent{
		Call:    string(e.Call),
		Attempt: e.Attempt,
		Offset:  int32(e.Offset),
		Text:    e.Text,
		Step:    e.Step,
	}
	if a := e.Answer; a != nil {
		out.Answer = &peerpb.Answer{Turn: a.Turn, Content: a.Content, Kept: a.Durable, Usage: UsageToPB(a.Usage)}
	}
	return out
}

// TurnEventFromPB converts an event of a turn from its wire form.
func TurnEventFromPB(e *peerpb.TurnEvent) structs.TurnEvent {
	out := structs.TurnEvent{
		Call:    structs.CallID(e.GetCall()),
		Attempt: e.GetAttempt(),
		Offset:  int(e.GetOffset()),
		Text:    e.GetText(),
		Step:    e.GetStep(),
	}
	if a := e.GetAnswer(); a != nil {
		out.Answer = &structs.TurnAnswer{
			Turn:    a.GetTurn(),
			Content: a.GetContent(),
			Durable: a.GetKept(),
			Usage:   UsageFromPB(a.GetUsage()),
		}
	}
	return out
}
