package program

import (
	"encoding/json"
	"time"

	"github.com/buckthornroute/buckthornroute/structs"
)

// agentArguments are the arguments of structs.AgentTool.
type agentArguments struct {
	Task string `json:"task"`
}

// prepareAgent reserves a share of the budget for a sub-agent and its descendants.
func (m *Machine) prepareAgent(now time.Time, c *call) {
	var arguments agentArguments
	if err := json.Unmarshal([]byte(c.tool.Arguments), &arguments); err != nil || arguments.Task == "" {
		m.fail(now, c, structs.Refusalf(structs.CodeBadRequest, structs.OutcomeNotRun, toolStep(c),
			"arguments %.80q name no task", c.tool.Arguments))
		return
	}
	c.task = arguments.Task
	if depth := m.spec.Depth + 1; depth > m.spec.Budget.Depth {
		m.fail(now, c, structs.Refusalf(structs.CodeBudgetExhausted, structs.OutcomeNotRun, toolStep(c),
			"depth %d is over the budget of %d", depth, m.spec.Budget.Depth))
		return
	}
	// An earlier home reserved this share and may have started the sub-agent with it. The restored
	// ledger holds the reservation already.
	if share, found := m.ledger.claimInherited(c.id); found {
		c.share, c.reserved, c.state, c.inheritedShare = share, share, callWaiting, true
		return
	}
	c.share = m.agentShare(c)
	if !minAgentShare.within(c.share) || !m.reserve(c, c.share) {
		m.fail(now, c, structs.Refusalf(structs.CodeBudgetExhausted, structs.OutcomeNotRun, toolStep(c),
			"what is left of the budget does not suffice for a sub-agent"))
		return
	}
	m.ledger.setShare(c.id, c.share)
	m.record(drawRecord{Call: c.id, Share: c.share})
}

// minAgentShare is the smallest share for which a sub-agent is started: 1 model call with a short
// prompt.
var minAgentShare = Amount{Tokens: 256, Calls: 1, Agents: 1}

// agentShare divides the free budget evenly between the parent and the sub-agents of the batch
// that have not started yet.
func (m *Machine) agentShare(c *call) Amount {
	unstarted := int64(1)
	for _, other := range m.current.batch {
		if other.kind == callAgent && other.state == callNew && other != c {
			unstarted++
		}
	}
	free := m.ledger.free()
	share := free.div(unstarted + 1)
	// The parent itself counts as no agent, so only the sub-agents divide this field. A share includes
	// the sub-agent itself and is at least 1 while any agent is left.
	share.Agents = min(max(free.Agents/unstarted, 1), free.Agents)
	return share
}

// launchAgent asks the driver to start the sub-agent of the call, or to find the one that an earlier
// home started with the same key.
func (m *Machine) launchAgent(now time.Time, c *call) {
	m.emit(StartAgent{
		Call:    c.id,
		Attempt: c.attemptNumber,
		Task:    c.task,
		Spec: structs.ProgramSpec{
			Organisation: m.spec.Organisation,
			Kind:         m.spec.Kind,
			Model:        m.spec.Model,
			System:       m.spec.System,
			Budget: structs.Budget{
				Tokens:   c.share.Tokens,
				Calls:    c.share.Calls,
				ToolTime: c.share.ToolTime,
				// The share counts the sub-agent itself, its own budget only its descendants.
				Agents: c.share.Agents - 1,
				Depth:  m.spec.Budget.Depth,
			},
			TurnTimeout: m.current.deadline.Sub(now),
			Parent:      m.id,
			Depth:       m.spec.Depth + 1,
			Key:         string(c.id),
		},
	})
}

func (m *Machine) agentDone(now time.Time, msg AgentDone) {
	c := m.active(msg.Call, msg.Attempt)
	if c == nil || c.kind != callAgent {
		return
	}
	// The charge is at most the reservation. After a restart the reservation may be the charge that
	// the record of the sub-agent's end holds, and the sub-agent may report a larger one.
	charged := msg.Charged.add(Amount{Agents: 1}).min(c.reserved)
	// The draw record below is the next record and holds the end.
	m.ledger.settleShare(c.id, c.reserved, charged, m.seq+1)
	c.reserved = Amount{}
	m.ledger.lower()
	m.record(drawRecord{Call: c.id, Share: charged})
	usage := msg.Usage
	usage.Agents++
	m.addUsage(usage)
	if msg.Refusal != nil {
		m.fail(now, c, msg.Refusal)
	} else {
		m.succeed(c, msg.Content)
	}
	m.advanceIfRunning(now)
}
