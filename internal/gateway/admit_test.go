package gateway

import (
	"reflect"
	"testing"
	"time"

	"github.com/buckthornroute/buckthornroute/admission"
	"github.com/buckthornroute/buckthornroute/internal/mesh"
)

// costGateway returns a gateway that knows only programs.
func costGateway() *Gateway {
	return &Gateway{programs: admission.NewPrograms(admission.DefaultNewProgramPolicy())}
}

// observedCosts returns a digest's items of an entry that admitted a program and saw a turn of it end.
func observedCosts(room int) []byte {
	g, now := costGateway(), time.Unix(1000, 0)
	c := g.programs.Cost("chat")
	c.Admitted(now, "p", 2*time.Second, time.Second, false)
	c.TurnEnded(now.Add(300*time.Millisecond), "p", 300*time.Millisecond, 0.125)
	c.Turn("p", 1500*time.Millisecond, 0.125)
	return g.appendCosts(nil, room)
}

// TestCostSampleSurvivesTheDigest guards against entries that estimate differently because a sample is read
// otherwise than it was written.
func TestCostSampleSurvivesTheDigest(t *testing.T) {
	b := observedCosts(1000)
	if len(b) == 0 || b[0] != 'p' {
		t.Fatalf("the item is %q", b)
	}
	r := mesh.NewReader(b[1:])
	route, s := readCostSample(r)
	if r.Malformed() || r.More() || route != "chat" {
		t.Fatalf("read route %q, malformed %v, bytes left %v", route, r.Malformed(), r.More())
	}
	if s.Starts != 1 || s.Turns != 2 || s.Given != (admission.Sum{Count: 1, Sum: 2000}) || s.Used.Count != 1 {
		t.Errorf("read %+v", s)
	}
	want := []admission.ResponseSample{{Range: s.Responses[0].Range, Count: 1, Load: 0.125, Ms: 300}}
	if !reflect.DeepEqual(s.Responses, want) {
		t.Errorf("read responses %+v, want %+v", s.Responses, want)
	}
}

// TestMalformedCostSample guards against a truncated or forged item that is applied, or that makes the reader
// allocate what it claims.
func TestMalformedCostSample(t *testing.T) {
	b := observedCosts(1000)
	for n := 1; n < len(b); n++ {
		r := mesh.NewReader(b[1:n])
		if readCostSample(r); !r.Malformed() {
			t.Errorf("an item cut to %d of %d bytes is read", n, len(b))
		}
	}
	forged := append([]byte{}, mesh.AppendText(nil, "chat")...)
	forged = append(forged, 1, 1, 1, 1, 1, 1, 200, 1) // 200 ranges
	r := mesh.NewReader(forged)
	if _, s := readCostSample(r); !r.Malformed() || len(s.Responses) > admission.LoadRanges {
		t.Errorf("a sample of 200 ranges is read: %+v", s)
	}
}

// TestCostSampleWaitsForRoom guards against observations that are lost when a digest has no room for them.
func TestCostSampleWaitsForRoom(t *testing.T) {
	g := costGateway()
	g.programs.Cost("chat").Admitted(time.Unix(1000, 0), "p", 2*time.Second, time.Second, false)
	if b := g.appendCosts(nil, 10); len(b) != 0 {
		t.Errorf("%d bytes are written into a room of 10", len(b))
	}
	if b := g.appendCosts(nil, 1000); len(b) == 0 {
		t.Error("the observations are lost")
	}
}
