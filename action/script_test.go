package action

import (
	"testing"
	"time"

	"github.com/buckthornroute/buckthornroute/structs"
	"github.com/cockroachdb/datadriven"
)

// TestScripts runs testdata/scripts/*.txt. It guards against a second send, a lost or changed outcome
// and an attempt that does not end; the comments in the scripts name the cases. NAME stands for the
// name of an attempt. The verbs are:
//
//	start    NAME [log=L] [key=K | call=C] [arguments=A] [resent]: begin an attempt
//	next     NAME [lose-answer|cut|late|delay-answer|refuse|fail]: carry out the pending effect, with a fault
//	run      NAME: carry out effects until the attempt ends
//	release  let the delayed transactions reach the table
//	outage, heal: make the table unavailable, and available again
//	seal     LOG: seal a home log
//	forget   LOG: delete the seal row of a home log
//	kill     NAME: remove the attempt
//	cancel   NAME: cancel the attempt on behalf of its caller
//	service  never|running|done|silent: the status that the service reports
//	advance  D: move the clock
//	settle   key=K [ran]: let an operator settle the action
//	row      key=K: put the input as the row's value
//	expect   print the rows and the runs of the service
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/scripts", func(t *testing.T, path string) {
		h := newHarness()
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			if !h.attemptVerb(t, d) && !h.environmentVerb(t, d) {
				d.Fatalf(t, "unknown verb %q", d.Cmd)
			}
			return h.takeOutput()
		})
	})
}

// attemptVerb runs the verbs of attempts. It returns false for another verb.
func (h *harness) attemptVerb(t *testing.T, d *datadriven.TestData) bool {
	name := ""
	if len(d.CmdArgs) > 0 {
		name = d.CmdArgs[0].Key
	}
	switch d.Cmd {
	case "start":
		h.startScript(t, d, name)
	case "next":
		f := noFault
		if len(d.CmdArgs) > 1 {
			f = fault(d.CmdArgs[1].Key)
		}
		h.deliver(h.attempts[name], f)
	case "run":
		h.run(h.attempts[name])
	case "kill":
		delete(h.attempts, name)
	case "cancel":
		h.step(h.attempts[name], Cancel{})
	default:
		return false
	}
	return true
}

// startScript starts the attempt that the script describes.
func (h *harness) startScript(t *testing.T, d *datadriven.TestData, name string) {
	r := structs.ToolRequest{Organisation: "council", Name: "publish", Attempt: 1, Irreversible: true}
	log, call := "e1", ""
	for key, value := range map[string]*string{"log": &log, "key": &r.Key, "arguments": &r.Arguments, "call": &call} {
		if d.HasArg(key) {
			d.ScanArgs(t, key, value)
		}
	}
	r.Resent = d.HasArg("resent")
	if call != "" {
		r.Call, r.Program, r.Key = structs.CallID(call), structs.CallID(call).Program(), call
	}
	h.start(name, structs.LogID(log), r)
}

// environmentVerb runs the verbs of the table, the service, the clock and the operator. It returns
// false for another verb.
func (h *harness) environmentVerb(t *testing.T, d *datadriven.TestData) bool {
	switch d.Cmd {
	case "release":
		for _, txn := range h.delayed {
			h.printf("late: %v", errText(h.apply(txn)))
		}
		h.delayed = nil
	case "outage", "heal":
		h.outage = d.Cmd == "outage"
	case "seal":
		h.seal(structs.LogID(d.CmdArgs[0].Key))
	case "forget":
		h.forget(structs.LogID(d.CmdArgs[0].Key))
	case "service":
		h.status = RequestStatus(d.CmdArgs[0].Key)
	case "advance":
		step, err := time.ParseDuration(d.CmdArgs[0].Key)
		if err != nil {
			d.Fatalf(t, "%v", err)
		}
		h.now = h.now.Add(step)
	case "settle":
		var key string
		d.ScanArgs(t, "key", &key)
		if err := h.settle("council", key, d.HasArg("ran")); err != nil {
			h.printf("error: %v", err)
		}
	case "row":
		var key string
		d.ScanArgs(t, "key", &key)
		h.rows[RowKey("council", key)] = TableRow{Value: []byte(d.Input), Version: 1}
	case "expect":
		h.printRows()
		for _, key := range sortedKeys(h.runs) {
			h.printf("the service ran %q %d times", key, h.runs[key])
		}
	default:
		return false
	}
	return true
}
