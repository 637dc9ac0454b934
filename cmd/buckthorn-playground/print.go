package main

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/buckthornroute/buckthornroute/internal/inprocess"
)

// printReports prints a table with one row for each program.
func printReports(out io.Writer, reports []report) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "PROGRAM\tID\tANSWERS\tSTORED\tCALLS\tSUB-AGENTS\tLATENCY\tPROMPT TOKENS\tFROM CACHE\tERROR")
	for _, r := range reports {
		fmt.Fprintf(w, "%s\t%s\t%d/%d\t%d\t%d\t%d\t%s\t%d\t%s\t%s\n",
			r.script.name, r.id, r.answers, len(r.script.turns), r.durable, r.usage.Calls, r.usage.Agents,
			r.latency.Round(time.Millisecond), r.usage.PromptTokens, percent(r.usage.CachedTokens, r.usage.PromptTokens), errorText(r.err))
	}
	return w.Flush()
}

func percent(part, whole int64) string {
	if whole == 0 {
		return "-"
	}
	return fmt.Sprintf("%d%%", 100*part/whole)
}

func errorText(err error) string {
	if err == nil {
		return "-"
	}
	return err.Error()
}

// printExecutions prints the number of executions of each tool service, and the number of calls
// that it executed more than once.
func printExecutions(out io.Writer, deployment string, s *inprocess.System) {
	for _, tools := range s.StandIns.Tools {
		stats := tools.Stats()
		fmt.Fprintf(out, "%s: a tool service made %d executions; %d calls were executed more than once\n", deployment, stats.Executions, len(stats.Duplicates))
	}
}

// printHints prints commands with which a newcomer can use and operate the deployment.
func printHints(out io.Writer, s *inprocess.System) {
	url := s.Entries[0].URL
	token := inprocess.CallerToken(taichungOrganisations[0])
	fmt.Fprintf(out, `
The deployments run until Ctrl-C. Entries of taichung:
`)
	for _, e := range s.Entries {
		fmt.Fprintf(out, "  %s\n", e)
	}
	fmt.Fprintf(out, `
Open a program, submit a turn (replace ID by the id that the first command prints), and stream its answer:
  curl -s %[1]s/v1/programs -H 'Authorization: Bearer %[2]s' -d '{"kind":"question","model":"portal-chat"}'
  curl -s %[1]s/v1/programs/ID/turns -H 'Authorization: Bearer %[2]s' -H 'Idempotency-Key: k1' \
    -d '{"number":1,"content":"What is new?\nplan: tool search_records {}; answer 20"}'
  curl -sN %[1]s/v1/programs/ID/turns/1 -H 'Authorization: Bearer %[2]s' -H 'Accept: text/event-stream'

Operate it:
  go run ./cmd/buckthornctl --entry %[1]s --token %[3]s status
  go run ./cmd/buckthornctl --entry %[1]s --token %[3]s preset switch peak --wait
  go run ./cmd/buckthornctl --entry %[1]s --token %[3]s drain vm-taichung-model-1
`, url, token, inprocess.OperatorToken)
}
