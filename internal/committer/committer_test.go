package committer

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/goleak"

	"github.com/buckthornroute/buckthornroute/homelog"
	"github.com/buckthornroute/buckthornroute/internal/standin"
	"github.com/buckthornroute/buckthornroute/structs"
)

// down makes the platform unreachable, and up reachable again.
var (
	down = standin.Fault{Kind: standin.FaultDown}
	up   = standin.Fault{Kind: standin.FaultDown, Clear: true}
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// open starts a committer on the platform and waits until its log is open.
func open(t *testing.T, p *standin.Platform, log structs.LogID, cfg Config) *Committer {
	t.Helper()
	cfg.HomeLog.Log = log
	c := New(cfg, p.Table, p.Objects)
	c.Start(t.Context())
	must(t, c.Ready(t.Context()))
	t.Cleanup(c.Stop)
	return c
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

func wantError(t *testing.T, err, want error) {
	t.Helper()
	if !errors.Is(err, want) {
		t.Fatalf("got error %v, want %v", err, want)
	}
}

// submit appends one entry for program n of the log and waits until it is durable.
func submit(t *testing.T, c *Committer, n uint64, text string, mark homelog.Mark) {
	t.Helper()
	sequence, err := c.Append(t.Context(), homelog.Entry{
		Program: structs.NewProgramID(c.Log(), n), Kind: "step", Data: []byte(text), Mark: mark,
	})
	must(t, err)
	must(t, c.Wait(t.Context(), sequence))
}

// texts joins the programs and data of entries.
func texts(entries []homelog.Entry) string {
	var s []string
	for _, e := range entries {
		s = append(s, fmt.Sprintf("%s=%s", e.Program, e.Data))
	}
	return strings.Join(s, " ")
}

// TestTakeOverAfterCrash guards against programs lost or delivered twice when the log of a
// crashed process is taken over.
func TestTakeOverAfterCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := standin.NewPlatform(standin.PlatformConfig{})
		a := open(t, p, "a", Config{})
		submit(t, a, 2, "x", homelog.MarkNone)
		submit(t, a, 1, "y", homelog.MarkNone)
		submit(t, a, 3, "gone", homelog.MarkNone)
		submit(t, a, 3, "", homelog.MarkEnd)
		submit(t, a, 1, "z", homelog.MarkNone)
		a.Stop()
		b := open(t, p, "b", Config{})
		logs, err := b.OpenLogs(t.Context())
		must(t, err)
		if len(logs) != 2 || logs[0].Log != "a" {
			t.Fatalf("open logs are %v, want a and b", logs)
		}
		entries, err := b.TakeOver(t.Context(), "a")
		must(t, err)
		if got, want := texts(entries), "a.1=y a.1=z a.2=x"; got != want {
			t.Fatalf("took over %q, want %q", got, want)
		}
		again, err := b.TakeOver(t.Context(), "a")
		must(t, err)
		if len(again) != 0 {
			t.Fatalf("took over twice: %q", texts(again))
		}
		successor, err := b.Successor(t.Context(), "a")
		must(t, err)
		if successor != "b" {
			t.Fatalf("successor is %q, want b", successor)
		}
		_, err = b.TakeOver(t.Context(), "never")
		wantError(t, err, homelog.ErrNoLog)
	})
}

// TestPausedOwnerStops guards against an owner that appends to its log after a takeover.
func TestPausedOwnerStops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := standin.NewPlatform(standin.PlatformConfig{})
		stopped := make(chan structs.LogID, 1)
		a := open(t, p, "a", Config{OnStopped: func(s structs.LogID) { stopped <- s }})
		submit(t, a, 1, "x", homelog.MarkNone)
		b := open(t, p, "b", Config{})
		_, err := b.TakeOver(t.Context(), "a")
		must(t, err)
		sequence, err := a.Append(t.Context(), homelog.Entry{Program: "a.1", Kind: "step"})
		must(t, err)
		wantError(t, a.Wait(t.Context(), sequence), homelog.ErrStopped)
		if s := <-stopped; s != "b" {
			t.Fatalf("stopped with successor %q", s)
		}
		_, err = a.Append(t.Context(), homelog.Entry{Program: "a.1", Kind: "step"})
		wantError(t, err, homelog.ErrStopped)
	})
}

// TestOutageBlocksAppends guards against pending entries that grow without limit, or are
// lost, while the platform does not answer, and against appends that are too large or use a
// reserved kind.
func TestOutageBlocksAppends(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := standin.NewPlatform(standin.PlatformConfig{})
		var notified uint64
		a := open(t, p, "a", Config{
			HomeLog:     homelog.Config{PendingBytes: 1 << 10},
			OnCommitted: func(through uint64) { notified = through },
		})
		must(t, p.Faults.Set(down))
		entry := homelog.Entry{Program: "a.1", Kind: "step", Data: make([]byte, 300)}
		var last uint64
		for range 3 {
			sequence, err := a.Append(t.Context(), entry)
			must(t, err)
			last = sequence
		}
		short, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		_, err := a.Append(short, entry)
		wantError(t, err, context.DeadlineExceeded)
		if s := a.Status(); s.Committed != 0 || s.OutageSince.IsZero() {
			t.Fatalf("status in the outage is %+v, want nothing committed and the outage reported", s)
		}
		must(t, p.Faults.Set(up))
		must(t, a.Wait(t.Context(), last))
		synctest.Wait()
		if notified != last {
			t.Fatalf("OnCommitted was called with %d, want %d", notified, last)
		}
		_, err = a.Append(t.Context(), homelog.Entry{Program: "a.1", Data: make([]byte, 2<<10)})
		wantError(t, err, homelog.ErrTooLarge)
		_, err = a.Append(t.Context(), homelog.Entry{Program: "a.1", Kind: "journal.adopted"})
		wantError(t, err, homelog.ErrReservedKind)
	})
}

// TestSealReleasesWaitingAppend guards against an append that waits without end because the
// log is sealed and its pending entries are never committed.
func TestSealReleasesWaitingAppend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := standin.NewPlatform(standin.PlatformConfig{})
		a := open(t, p, "a", Config{HomeLog: homelog.Config{PendingBytes: 1 << 10}})
		b := open(t, p, "b", Config{})
		_, err := b.TakeOver(t.Context(), "a")
		must(t, err)
		must(t, p.Faults.Set(down))
		entry := homelog.Entry{Program: "a.1", Kind: "step", Data: make([]byte, 1000)}
		_, err = a.Append(t.Context(), entry)
		must(t, err)
		time.AfterFunc(time.Minute, func() { _ = p.Faults.Set(up) })
		_, err = a.Append(t.Context(), entry)
		wantError(t, err, homelog.ErrStopped)
	})
}

// TestCloseHandsOverOrDeletes guards against programs lost by a handover, and against rows
// and objects that remain after the last program has ended.
func TestCloseHandsOverOrDeletes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := standin.NewPlatform(standin.PlatformConfig{})
		a := open(t, p, "a", Config{})
		b := open(t, p, "b", Config{HomeLog: homelog.Config{RedirectRetention: time.Millisecond}})
		submit(t, a, 1, "x", homelog.MarkNone)
		must(t, p.Faults.Set(standin.Fault{Kind: standin.FaultLoseAnswer, Match: "apply", Count: 1}))
		submit(t, a, 1, "y", homelog.MarkNone)
		var handed []homelog.Entry
		must(t, a.Close(t.Context(), func(ctx context.Context, log structs.LogID) (err error) {
			handed, err = b.TakeOver(ctx, log)
			return err
		}))
		if got, want := texts(handed), "a.1=x a.1=y"; got != want {
			t.Fatalf("handed over %q, want %q", got, want)
		}
		_, err := a.Append(t.Context(), homelog.Entry{Program: "a.1", Kind: "step"})
		wantError(t, err, ErrClosed)
		sequence, err := b.Append(t.Context(), homelog.Entry{Program: "a.1", Kind: "end", Mark: homelog.MarkEnd})
		must(t, err)
		must(t, b.Wait(t.Context(), sequence))
		must(t, b.await(t.Context(), func(s homelog.Status) bool { return s.Redirects == 0 }))
		must(t, b.Close(t.Context(), nil))
		rows, err := p.Table.Scan(t.Context(), "", "", 100)
		must(t, err)
		if len(rows)+p.Objects.Len() != 0 {
			t.Fatalf("rows %v and %d objects are left", rows, p.Objects.Len())
		}
	})
}

// TestEntriesOfAbandonedTakeOverAreRetained guards against the loss of programs when the caller
// of TakeOver gives up before the takeover ends.
func TestEntriesOfAbandonedTakeOverAreRetained(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := standin.NewPlatform(standin.PlatformConfig{})
		a := open(t, p, "a", Config{})
		submit(t, a, 1, "x", homelog.MarkNone)
		a.Stop()
		b := open(t, p, "b", Config{})
		must(t, p.Faults.Set(down))
		short, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := b.TakeOver(short, "a")
		wantError(t, err, context.DeadlineExceeded)
		must(t, p.Faults.Set(up))
		must(t, b.await(t.Context(), func(s homelog.Status) bool { return s.Programs == 1 }))
		entries, err := b.TakeOver(t.Context(), "a")
		must(t, err)
		if got := texts(entries); got != "a.1=x" {
			t.Fatalf("took over %q, want %q", got, "a.1=x")
		}
	})
}

// TestTakeOverEndsWithTheCommitter: a takeover waits for the platform when the committer is stopped. It must not
// wait on until its own deadline, which keeps a goroutine of an entry that has ended.
func TestTakeOverEndsWithTheCommitter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := standin.NewPlatform(standin.PlatformConfig{})
		c := open(t, p, "b", Config{})
		must(t, p.Faults.Set(down))
		ended := make(chan error, 1)
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), time.Hour)
			defer cancel()
			_, err := c.TakeOver(ctx, "a")
			ended <- err
		}()
		time.Sleep(time.Second)
		c.Stop()
		synctest.Wait()
		select {
		case err := <-ended:
			wantError(t, err, homelog.ErrStopped)
		default:
			t.Fatal("the takeover waits on after Stop")
		}
	})
}
