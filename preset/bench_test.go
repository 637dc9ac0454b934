package preset

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/buckthornroute/buckthornroute/structs"
)

type sentMessage struct {
	from, to structs.NodeID
	msg      PeerMessage
}

// spreadOnce pushes one version from the last node through n machines. It delivers all messages of
// one network delay at a time. Then it measures the traffic of 1 second without a switch.
func spreadOnce(b *testing.B, n int) {
	names := make([]structs.NodeID, n)
	for i := range names {
		names[i] = structs.NodeID(fmt.Sprintf("entry%03d", i))
	}
	machines := make(map[structs.NodeID]*Machine, n)
	for i, name := range names {
		machines[name] = New(DefaultConfig(name, uint64(i+1)), epoch)
		machines[name].Step(epoch, Members{Nodes: names})
	}
	preset := structs.Preset{Name: "peak", LatencyWeight: 2, WasteWeight: 0.5, AdmitNew: true, MaxQueue: 48, Policy: "cost",
		TurnTimeouts: map[string]structs.Duration{"question": structs.Duration(8 * time.Second), "draft": structs.Duration(45 * time.Second)}}
	first := Received{From: "operator", Message: Push{InForce: structs.PresetInForce{Version: 2, Preset: preset}}}
	origin := names[n-1]
	inFlight := collect(nil, origin, machines[origin].Step(epoch, first))
	delays, messages, bytes, busiest := 0, 0, 0, 0
	for ; len(inFlight) > 0; delays++ {
		perNode := map[structs.NodeID]int{}
		var next []sentMessage
		for _, s := range inFlight {
			size := sizeOf(s.msg)
			messages, bytes, perNode[s.from] = messages+1, bytes+size, perNode[s.from]+size
			busiest = max(busiest, perNode[s.from])
			next = collect(next, s.to, machines[s.to].Step(epoch, Received{From: s.from, Message: s.msg}))
		}
		inFlight = next
	}
	for _, name := range names {
		if machines[name].Version() != 2 {
			b.Fatalf("node %s has version %d, want 2", name, machines[name].Version())
		}
	}
	b.ReportMetric(float64(delays), "delays")
	b.ReportMetric(float64(messages), "messages")
	b.ReportMetric(float64(bytes)/float64(n), "bytes/node")
	b.ReportMetric(float64(busiest), "bytes/busiest")
	steadyState(b, names, machines, preset)
}

// steadyState measures the reads, pulls and replies of 1 second without a switch, after 2 seconds in
// which the freshness proofs have spread.
func steadyState(b *testing.B, names []structs.NodeID, machines map[structs.NodeID]*Machine, preset structs.Preset) {
	const warmUp = 2 * time.Second
	row := Row{PresetInForce: structs.PresetInForce{Version: 2, Preset: preset}}
	value, err := EncodeRow(row)
	if err != nil {
		b.Fatal(err)
	}
	perNode := map[structs.NodeID]int{}
	reads, busiest := 0, 0
	var oldest time.Duration
	for now := epoch; now.Before(epoch.Add(warmUp + time.Second)); now = now.Add(tickEvery) {
		if now.Equal(epoch.Add(warmUp)) {
			clear(perNode)
			reads = 0
		}
		for _, name := range names {
			inFlight := collect(nil, name, nil)
			for _, e := range machines[name].Step(now, Tick{}) {
				if r, ok := e.(Read); ok {
					reads++
					inFlight = collect(inFlight, name, machines[name].Step(now, ReadDone{Number: r.Number, RowVersion: 1, Value: value}))
				}
				inFlight = collect(inFlight, name, []Effect{e})
			}
			for len(inFlight) > 0 {
				s := inFlight[0]
				perNode[s.from] += sizeOf(s.msg)
				inFlight = collect(inFlight[1:], s.to, machines[s.to].Step(now, Received{From: s.from, Message: s.msg}))
			}
			if now.After(epoch.Add(warmUp)) {
				oldest = max(oldest, now.Sub(machines[name].provenAt))
			}
		}
	}
	for _, size := range perNode {
		busiest = max(busiest, size)
	}
	b.ReportMetric(float64(busiest), "steady-bytes/s/busiest")
	b.ReportMetric(float64(reads), "reads/s")
	b.ReportMetric(oldest.Seconds()*1000, "oldest-proof-ms")
}

// collect appends the messages that the effects of a node send to those in flight.
func collect(inFlight []sentMessage, from structs.NodeID, effects []Effect) []sentMessage {
	for _, e := range effects {
		if s, ok := e.(Send); ok {
			inFlight = append(inFlight, sentMessage{from: from, to: s.To, msg: s.Message})
		}
	}
	return inFlight
}

// sizeOf returns the size in bytes of a message as JSON, without the framing of the transport.
func sizeOf(m PeerMessage) int {
	data, err := json.Marshal(m)
	if err != nil {
		return 0
	}
	return len(data)
}

// BenchmarkReplyToPull measures what one pull of a peer costs the node that replies.
func BenchmarkReplyToPull(b *testing.B) {
	m := New(DefaultConfig("e1", 1), epoch)
	m.Step(epoch, Members{Nodes: []structs.NodeID{"e1", "e2", "e3"}})
	pull := Received{From: "e2", Message: Pull{Number: 1}}
	b.ReportAllocs()
	for b.Loop() {
		m.Step(epoch, pull)
	}
}
