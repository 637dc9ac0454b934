package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/buckthornroute/buckthornroute/internal/eventlog"
	"github.com/buckthornroute/buckthornroute/internal/mesh"
	platformapi "github.com/buckthornroute/buckthornroute/internal/platform"
	"github.com/buckthornroute/buckthornroute/internal/reqlog"
	"github.com/buckthornroute/buckthornroute/internal/settings"
	"github.com/buckthornroute/buckthornroute/internal/standin"
	"github.com/buckthornroute/buckthornroute/internal/telemetry"
)

// oddRowValues are values of rows that another writer may leave.
var oddRowValues = map[string]string{
	"nested":     strings.Repeat("[", 30000) + strings.Repeat("]", 30000),
	"objects":    strings.Repeat(`{"service":`, 20000) + "1" + strings.Repeat("}", 20000),
	"number":     `{"service":"llm","address":"127.0.0.1:9","zone":"z","version":"v1","slots":1e400,"state":"ready","seq":1}`,
	"slots":      `{"service":"llm","address":"127.0.0.1:9","zone":"z","version":"v1","slots":9000000000000000000,"state":"ready","seq":1}`,
	"port":       `{"service":"llm","address":"127.0.0.1:70000","zone":"z","version":"v1","slots":8,"state":"ready","seq":1}`,
	"port-zero":  `{"service":"llm","address":"127.0.0.1:0","zone":"z","version":"v1","slots":8,"state":"ready","seq":1}`,
	"types":      `{"service":["llm"],"address":1,"zone":{},"version":null,"slots":"8","state":true,"seq":[]}`,
	"doubled":    `{"service":"app","service":"llm","address":"127.0.0.1:9","zone":"z","version":"v1","slots":8,"state":"ready","seq":1}`,
	"no-utf8":    "{\"service\":\"llm\",\"zone\":\"\xff\"}",
	"list":       `[]`,
	"empty":      ``,
	"id\r\nX: y": `{"service":"llm","address":"127.0.0.1:9","zone":"z","version":"v1","slots":8,"state":"ready","seq":1}`,
}

// TestOddRowStopsNobody: other writers leave odd rows among those of the upstreams. Each is left out with a line in the
// log that names it, an entry goes on following the others, and one that starts beside them serves.
func TestOddRowStopsNobody(t *testing.T) {
	p, e, _, _ := startEntryWithUpstreams(t, answerSealed(http.StatusOK, "ok"), answerEvents(0, 1, false))
	for name, value := range oddRowValues {
		p.write("servers//"+name, value)
		p.write("entries//"+name, value)
		p.write(quarantinePrefix+name, value)
		p.write(settledPrefix+name, value)
	}
	entries := []*testEntry{e, startEntry(t, "entry-2", p.standin.Table)}
	late := newScriptedUpstream(t, "app-late", answerSealed(http.StatusOK, "late"))
	p.registerUpstream(late, "app", "ready", 1)
	for _, e := range entries {
		eventually(t, "the entry follows the upstreams beside odd rows", func() bool { return e.fleet.Load().registry.Get("app-late") != nil })
		for name := range oddRowValues {
			if u := e.fleet.Load().registry.Get(name); u != nil {
				t.Errorf("entry %s uses the odd upstream %+v", e.cfg.Node, u)
			}
			eventually(t, "the log names the odd row "+name, func() bool {
				return strings.Contains(e.log.String(), fmt.Sprintf(`"msg":"upstream_row_malformed","node":%q,"upstream":%q`, e.cfg.Node, name))
			})
		}
		if r := e.call("POST", "/ask/1", "x", turnHeader("p-"+string(e.cfg.Node), 500, 50)); r.status != http.StatusOK {
			t.Errorf("entry %s beside odd rows: %+v", e.cfg.Node, r)
		}
	}
}

// TestOddBudgetRowIsNotUsed: a budget's row that can't be read is an error of that program only.
func TestOddBudgetRowIsNotUsed(t *testing.T) {
	p, e, _, _ := startEntryWithUpstreams(t, answerNotRun, answerEvents(0, 4, false))
	eventually(t, "the entry owns budgets", e.mesh.CanOwn)
	for name, value := range oddRowValues {
		program := "odd " + strings.Map(func(r rune) rune {
			if r < ' ' {
				return '-'
			}
			return r
		}, name)
		p.write(budgetKey(program), value)
		if r := e.call("POST", "/ask/1", "x", turnHeader(program, 500, 50)); r.status != http.StatusServiceUnavailable {
			t.Errorf("%s: %+v, want status 503", name, r)
		}
	}
	if r := e.call("POST", "/ask/1", "x", turnHeader("other", 500, 50)); r.status != http.StatusOK {
		t.Errorf("another program: %+v", r)
	}
}

// FuzzDecodeQuarantineRow: no row ends the process.
func FuzzDecodeQuarantineRow(f *testing.F) {
	f.Add([]byte(`{"expires":9223372036854775807}`))
	f.Fuzz(func(_ *testing.T, value []byte) {
		_, _ = decodeQuarantineRow(platformapi.Row{Key: quarantinePrefix + "1", Value: value})
	})
}

// discardedPackets is a socket for datagrams that takes what is sent and receives nothing.
type discardedPackets struct{ net.PacketConn }

func (discardedPackets) WriteTo(b []byte, _ net.Addr) (int, error) { return len(b), nil }

// FuzzPacket: no datagram ends the process, whatever its kind and that of the question in it.
func FuzzPacket(f *testing.F) {
	requests := reqlog.New(io.Discard, "entry-1")
	events, err := eventlog.New(requests, "entry-1", settings.Log{Level: "info"})
	if err != nil {
		f.Fatal(err)
	}
	g := newGateway(&settings.Gateway{Node: "entry-1", MemoryMB: 64, TableRowBytes: 65536, TableWritesPerSecond: 100, FirstStart: true}, Environment{
		Events: events, Requests: requests, Telemetry: telemetry.Disabled(), Table: standin.NewPlatform(standin.PlatformConfig{}).Table,
	})
	g.mesh.SetConn(discardedPackets{})
	if err := g.mesh.SetPeer(mesh.Peer{Node: "entry-2", Incarnation: "x", UDPAddress: "127.0.0.1:9", HTTPAddress: "127.0.0.1:9"}); err != nil {
		f.Fatal(err)
	}
	f.Add(g.mesh.Digest())
	f.Add(g.mesh.FrequentDigest())
	for _, kind := range []byte{callReserve, callSettle, callGrantNotice, callGrantsFor, callRelease, callTurnStoredBy, callStreamOrigin} {
		for _, packet := range []byte{1, 2, 3, 4, 5, 6, 7} {
			b := mesh.AppendText([]byte{packet, 1}, "x")
			b = mesh.AppendText(mesh.AppendText(append(b, kind), "program"), "id")
			f.Add(append(b, 0xf4, 3, 50, 1, 'c', 1, 10))
		}
	}
	from := &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 9}
	f.Fuzz(func(_ *testing.T, packet []byte) {
		if len(packet) > 0 {
			g.mesh.HandlePacket(packet, from)
		}
	})
}
