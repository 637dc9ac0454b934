package preset

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/buckthornroute/buckthornroute/structs"
)

type sent struct {
	from, to structs.NodeID
	msg      PeerMessage
}

// spreadOnce pushes one version from the last node through n machines, delay by
// delay, and then counts one second of questions between them.
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
	wave := collect(nil, origin, machines[origin].Step(epoch, first))
	delays, messages, bytes, busiest := 0, 0, 0, 0
	for ; len(wave) > 0; delays++ {
		perNode := map[structs.NodeID]int{}
		var next []sent
		for _, s := range wave {
			size := sizeOf(s.msg)
			messages, bytes, perNode[s.from] = messages+1, bytes+size, perNode[s.from]+size
			busiest = max(busiest, perNode[s.from])
			next = collect(next, s.to, machines[s.to].Step(epoch, Received{From: s.from, Message: s.msg}))
		}
		wave = next
	}
	for _, name := range names {
		if machines[name].Version() != 2 {
			b.Fatalf("node %s has version %d", name, machines[name].Version())
		}
	}
	b.ReportMetric(float64(delays), "delays")
	b.ReportMetric(float64(messages), "messages")
	b.ReportMetric(float64(bytes)/float64(n), "bytes/node")
	b.ReportMetric(float64(busiest), "bytes/busiest")
	steadyState(b, names, machines, preset)
}

// steadyState counts the reads, questions and answers of one second without a switch,
// after two seconds in which the evidence has spread.
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
			wave := collect(nil, name, nil)
			for _, e := range machines[name].Step(now, Tick{}) {
				if r, ok := e.(Read); ok {
					reads++
					wave = collect(wave, name, machines[name].Step(now, ReadDone{Number: r.Number, RowVersion: 1, Value: value}))
				}
				wave = collect(wave, name, []Effect{e})
			}
			for len(wave) > 0 {
				s := wave[0]
				perNode[s.from] += sizeOf(s.msg)
				wave = collect(wave[1:], s.to, machines[s.to].Step(now, Received{From: s.from, Message: s.msg}))
			}
			if now.After(epoch.Add(warmUp)) {
				oldest = max(oldest, now.Sub(machines[name].evidence))
			}
		}
	}
	for _, size := range perNode {
		busiest = max(busiest, size)
	}
	b.ReportMetric(float64(busiest), "steady-bytes/s/busiest")
	b.ReportMetric(float64(reads), "reads/s")
	b.ReportMetric(oldest.Seconds()*1000, "oldest-evidence-ms")
}

func collect(wave []sent, from structs.NodeID, effects []Effect) []sent {
	for _, e := range effects {
		if s, ok := e.(Send); ok {
			wave = append(wave, sent{from: from, to: s.To, msg: s.Message})
		}
	}
	return wave
}

// sizeOf is the size of a message as JSON, without the framing of its transport.
func sizeOf(m PeerMessage) int {
	data, err := json.Marshal(m)
	if err != nil {
		return 0
	}
	return len(data)
}

// BenchmarkAnswer is what one question of a peer costs the node that answers it.
func BenchmarkAnswer(b *testing.B) {
	m := New(DefaultConfig("e1", 1), epoch)
	m.Step(epoch, Members{Nodes: []structs.NodeID{"e1", "e2", "e3"}})
	ask := Received{From: "e2", Message: Pull{Number: 1}}
	b.ReportAllocs()
	for b.Loop() {
		m.Step(epoch, ask)
	}
}
