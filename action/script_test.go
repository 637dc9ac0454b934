package action

import (
	"testing"
	"time"

	"github.com/buckthornroute/buckthornroute/structs"
	"github.com/cockroachdb/datadriven"
)

// TestScripts runs testdata/scripts/*.txt. Attempts have names. The verbs are:
//
//	start    NAME [log=L] [key=K | call=C] [arguments=A] [resent]: begin an attempt
//	next     NAME [lose-answer|cut|late|hold|refuse|fail]: carry out what it asked for, with a fault
//	run      NAME: carry out all that it asks for
//	release  let the delayed transactions reach the table
//	outage, heal: the table is down, and up again
//	seal     LOG
//	kill     NAME; cancel NAME
//	service  never|running|done|mute: its account of requests
//	advance  D
//	settle   key=K [ran]: an operator's word
//	row      key=K: put the input as the row's value
//	expect   print the rows and the runs of the service
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/scripts", func(t *testing.T, path string) {
		b := newBench()
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			if !b.attemptVerb(t, d) && !b.worldVerb(t, d) {
				d.Fatalf(t, "unknown verb %q", d.Cmd)
			}
			return b.take()
		})
	})
}

func (b *bench) attemptVerb(t *testing.T, d *datadriven.TestData) bool {
	name := ""
	if len(d.CmdArgs) > 0 {
		name = d.CmdArgs[0].Key
	}
	switch d.Cmd {
	case "start":
		b.startScript(t, d, name)
	case "next":
		f := noFault
		if len(d.CmdArgs) > 1 {
			f = fault(d.CmdArgs[1].Key)
		}
		b.deliver(b.attempts[name], f)
	case "run":
		b.run(b.attempts[name])
	case "kill":
		delete(b.attempts, name)
	case "cancel":
		b.step(b.attempts[name], Cancel{})
	default:
		return false
	}
	return true
}

func (b *bench) startScript(t *testing.T, d *datadriven.TestData, name string) {
	r := structs.ToolRequest{Organisation: "council", Name: "publish", Attempt: 1, NonRepeatable: true}
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
	b.start(name, structs.LogID(log), r)
}

func (b *bench) worldVerb(t *testing.T, d *datadriven.TestData) bool {
	switch d.Cmd {
	case "release":
		for _, txn := range b.delayed {
			b.printf("late: %v", errText(b.apply(txn)))
		}
		b.delayed = nil
	case "outage", "heal":
		b.down = d.Cmd == "outage"
	case "seal":
		b.seal(structs.LogID(d.CmdArgs[0].Key))
	case "forget":
		b.forget(structs.LogID(d.CmdArgs[0].Key))
	case "service":
		b.account = RequestStatus(d.CmdArgs[0].Key)
	case "advance":
		step, err := time.ParseDuration(d.CmdArgs[0].Key)
		if err != nil {
			d.Fatalf(t, "%v", err)
		}
		b.now = b.now.Add(step)
	case "settle":
		var key string
		d.ScanArgs(t, "key", &key)
		if err := b.settle("council", key, d.HasArg("ran")); err != nil {
			b.printf("error: %v", err)
		}
	case "row":
		var key string
		d.ScanArgs(t, "key", &key)
		b.rows[RowKey("council", key)] = TableRow{Value: []byte(d.Input), Version: 1}
	case "expect":
		b.printRows()
		for _, key := range sortedKeys(b.ran) {
			b.printf("the service ran %q %d times", key, b.ran[key])
		}
	default:
		return false
	}
	return true
}
