package standin

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/buckthornroute/buckthornroute/internal/platform"
	"github.com/buckthornroute/buckthornroute/internal/scenario"
	"github.com/buckthornroute/buckthornroute/structs"
	"github.com/cockroachdb/datadriven"
	"github.com/cockroachdb/errors"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// platformScript drives the platform stand-in through its HTTP client.
type platformScript struct {
	t       *testing.T
	standin *Platform
	client  *platform.Client
	stop    func()
}

// TestPlatform guards against a stand-in that applies half a transaction or ignores its limits
// and lags, and against a client that reports a lost answer as not applied.
func TestPlatform(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &platformScript{t: t, standin: NewPlatform(PlatformConfig{
			VMLag:                  structs.Duration(5 * time.Second),
			WeightFetchesPerMinute: 60,
			VMs:                    []platform.VMChange{{ID: "vm-a", Domain: "a"}},
		})}
		listener, stop := Serve(s.standin.Handler())
		s.stop = stop
		s.client = platform.NewClientWithTransport("http://platform", listener.Transport())
		defer stop()
		defer s.client.Close()
		datadriven.RunTest(t, "testdata/platform.txt", s.run)
	})
}

func (s *platformScript) run(t *testing.T, d *datadriven.TestData) string {
	ctx := context.Background()
	switch d.Cmd {
	case "apply":
		return outcome(s.client.Apply(ctx, parseTxn(t, d.Input)))
	case "get":
		row, err := s.client.Get(ctx, d.CmdArgs[0].Key)
		return orOutcome(err, "%s version %d", row.Value, row.Version)
	case "scan":
		return s.scan(d)
	case "put-object":
		return outcome(s.client.Objects().Put(ctx, d.CmdArgs[0].Key, []byte(strings.TrimSpace(d.Input))))
	case "get-object":
		value, err := s.client.Objects().Get(ctx, d.CmdArgs[0].Key)
		return orOutcome(err, "%s", value)
	case "delete-object":
		return outcome(s.client.Objects().Delete(ctx, d.CmdArgs[0].Key))
	case "vms":
		vms, err := s.client.List(ctx)
		var out strings.Builder
		for _, vm := range vms {
			fmt.Fprintf(&out, "%s %s %s\n", vm.ID, vm.Domain, vm.State)
		}
		return orOutcome(err, "%s", out.String())
	case "vm":
		s.standin.SetVM(platform.VMChange{ID: structs.VMID(d.CmdArgs[0].Key), State: platform.VMState(d.CmdArgs[1].Key)})
		return "ok"
	case "fetch":
		bytes, err := s.client.Fetch(ctx, d.CmdArgs[0].Key, "1")
		return orOutcome(err, "%d bytes", bytes)
	case "fault":
		return setFault(t, s.standin.Faults, d)
	case "faults":
		return fmt.Sprint(s.standin.Faults.List())
	case "advance":
		return advance(t, d)
	case "stop":
		s.stop()
		return "ok"
	}
	d.Fatalf(t, "verb %q does not exist", d.Cmd)
	return ""
}

func (s *platformScript) scan(d *datadriven.TestData) string {
	a := scenario.NewArgs(s.t, d)
	rows, err := s.client.Scan(context.Background(), a.Text("prefix", ""), a.Text("after", ""), a.Int("limit", 0))
	var keys []string
	for _, row := range rows {
		keys = append(keys, row.Key)
	}
	return orOutcome(err, "%s", strings.Join(keys, " "))
}

// setFault sets or clears a fault by a directive such as "fault slow delay=2s count=1" or
// "fault slow clear".
func setFault(t *testing.T, faults *Faults, d *datadriven.TestData) string {
	a := scenario.NewArgs(t, d)
	err := faults.Set(Fault{
		Kind:   FaultKind(a.Word(0)),
		Clear:  a.Has("clear"),
		Count:  a.Int("count", 0),
		Match:  a.Text("match", ""),
		Delay:  structs.Duration(a.Duration("delay", 0)),
		For:    structs.Duration(a.Duration("for", 0)),
		Factor: a.Float("factor", 0),
	})
	if err != nil {
		return err.Error()
	}
	return "ok"
}

// advance lets virtual time pass and waits until every goroutine is blocked.
func advance(t *testing.T, d *datadriven.TestData) string {
	duration, err := time.ParseDuration(d.CmdArgs[0].Key)
	if err != nil {
		d.Fatalf(t, "%v", err)
	}
	time.Sleep(duration)
	synctest.Wait()
	return "ok"
}

// parseTxn parses lines such as "if KEY VERSION", "put KEY VALUE" and "delete KEY".
func parseTxn(t *testing.T, input string) platform.Txn {
	var txn platform.Txn
	for line := range strings.Lines(input) {
		f := strings.Fields(line)
		switch f[0] {
		case "if":
			var version int64
			if _, err := fmt.Sscan(f[2], &version); err != nil {
				t.Fatal(err)
			}
			txn.Conditions = append(txn.Conditions, platform.Condition{Key: f[1], Version: version})
		case "put":
			txn.Writes = append(txn.Writes, platform.Write{Key: f[1], Value: []byte(f[2])})
		case "delete":
			txn.Writes = append(txn.Writes, platform.Write{Key: f[1], Delete: true})
		default:
			t.Fatalf("operation %q does not exist", f[0])
		}
	}
	return txn
}

// outcome returns the name of the sentinel that an error matches; it must match exactly one.
func outcome(err error) string {
	if err == nil {
		return "ok"
	}
	var found []string
	for name, sentinel := range map[string]error{
		"condition failed": platform.ErrConditionFailed,
		"not found":        platform.ErrNotFound,
		"not applied":      platform.ErrNotApplied,
		"unavailable":      platform.ErrUnavailable,
	} {
		if errors.Is(err, sentinel) {
			found = append(found, name)
		}
	}
	if len(found) != 1 {
		return fmt.Sprintf("%d sentinels: %v", len(found), err)
	}
	return found[0]
}

// orOutcome formats a result, or returns the outcome of err when it is not nil.
func orOutcome(err error, format string, args ...any) string {
	if err != nil {
		return outcome(err)
	}
	return fmt.Sprintf(format, args...)
}
