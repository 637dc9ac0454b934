package main

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/buckthornroute/buckthornroute/internal/httpapi"
	"github.com/buckthornroute/buckthornroute/internal/inprocess"
	"github.com/buckthornroute/buckthornroute/structs"
)

// script defines one program: the organisation of its caller, the request that opens it and
// the contents of its turns. A line that begins with "plan:" scripts the answers of the
// model stand-in; see standin.ScriptedAnswer.
type script struct {
	name         string
	organisation structs.OrganisationID
	request      httpapi.OpenRequest
	turns        []string
}

// taichungPrograms returns the programs of taichung: a clerk's draft, and the questions of a
// citizen and a reporter.
func taichungPrograms() []script {
	draft := httpapi.OpenRequest{Kind: "draft", Model: "portal-chat", System: "You help clerks describe datasets of the council's portal."}
	question := httpapi.OpenRequest{Kind: "question", Model: "portal-chat", System: "You answer questions about council budgets and meeting records."}
	return []script{
		{
			name: "clerk's draft", organisation: taichungOrganisations[0], request: draft,
			turns: []string{
				"Draft a description of the parks budget.\nplan: tool search_records {\"pause_ms\":400}; answer 60",
				"Add what the council said in May.\nplan: tool read_minutes {\"pause_ms\":800}; agent summarise the May meeting; answer 80",
				"Publish it.\nplan: tool publish_dataset {\"name\":\"parks-budget\"}; answer 15",
			},
		},
		{
			name: "citizen's question", organisation: taichungOrganisations[0], request: question,
			turns: []string{"How much goes to street lights?\nplan: tool search_records {\"pause_ms\":300}; answer 40"},
		},
		{
			name: "reporter's question", organisation: taichungOrganisations[1], request: question,
			turns: []string{
				"Which meetings spoke of the bridge?\nplan: tool search_records {\"pause_ms\":300}; answer 40",
				"And what did they decide?\nplan: tool read_minutes {\"pause_ms\":500}; answer 40",
			},
		},
	}
}

// hokkaidoPrograms returns the programs of hokkaido: a newsletter item with sub-agents and a
// printing order, and a member's question.
func hokkaidoPrograms() []script {
	item := httpapi.OpenRequest{Kind: "newsletter", Model: "newsletter", System: "You turn minutes into newsletter items of the branches."}
	question := httpapi.OpenRequest{Kind: "question", Model: "newsletter", System: "You answer members' questions about past notices."}
	return []script{
		{
			name: "newsletter item", organisation: hokkaidoOrganisations[0], request: item,
			turns: []string{
				"Make an item of these minutes.\nplan: tool read_minutes {\"pause_ms\":600}; agent check the dates; agent shorten the raffle; answer 80",
				"Submit it and order the print.\nplan: tool submit_item {\"branch\":\"kushiro\"}; tool order_printing {\"copies\":420}; answer 15",
			},
		},
		{
			name: "member's question", organisation: hokkaidoOrganisations[1], request: question,
			turns: []string{"When was the last bazaar?\nplan: tool search_notices {\"pause_ms\":300}; answer 30"},
		},
	}
}

// report is the result of one program.
type report struct {
	script  script
	id      structs.ProgramID
	answers int           // turns that were answered
	durable int           // answers that are durable
	latency time.Duration // zero after an error
	usage   structs.Usage
	err     error
}

// runPrograms runs all programs concurrently. The turns of a program go to the entries in
// rotation.
func runPrograms(ctx context.Context, s *inprocess.System, scripts []script) []report {
	reports := make([]report, len(scripts))
	var running sync.WaitGroup
	for i, program := range scripts {
		running.Go(func() { reports[i] = runProgram(ctx, s, i, program) })
	}
	running.Wait()
	return reports
}

// runProgram opens the program and runs its turns, up to the first error. The open and the first
// turn go to firstEntry, each later turn to the next entry.
func runProgram(ctx context.Context, s *inprocess.System, firstEntry int, program script) report {
	r := report{script: program}
	client := func(n int) inprocess.Client {
		return inprocess.Client{URL: s.Entries[n%len(s.Entries)].URL, Token: inprocess.CallerToken(program.organisation)}
	}
	started := time.Now()
	r.id, r.err = client(firstEntry).Open(ctx, program.request, program.name)
	for i, content := range program.turns {
		if r.err != nil {
			return r
		}
		number := uint32(i + 1)
		var answer structs.TurnAnswer
		answer, r.err = client(firstEntry+i).Turn(ctx, r.id, number, fmt.Sprintf("turn-%d", number), content)
		if r.err != nil {
			return r
		}
		r.answers++
		if answer.Durable {
			r.durable++
		}
		r.usage = r.usage.Add(answer.Usage)
	}
	r.latency = time.Since(started)
	return r
}

// errIncomplete reports a program of which not all answers were durable.
var errIncomplete = errors.New("program is incomplete")

// checkComplete returns an error that names the first program that failed or of which not
// all answers were durable.
func checkComplete(reports []report) error {
	for _, r := range reports {
		if r.err != nil {
			return errors.Wrapf(r.err, "%s (%s)", r.script.name, r.id)
		}
		if r.durable != len(r.script.turns) {
			return errors.Wrapf(errIncomplete, "%s (%s): %d of %d answers stored", r.script.name, r.id, r.durable, len(r.script.turns))
		}
	}
	return nil
}
