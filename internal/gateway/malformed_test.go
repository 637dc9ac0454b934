package gateway

import (
	"math/rand/v2"
	"net"
	"testing"
)

// TestMalformedPacketsEndNoEntry feeds an entry random packets, and digests of its own that are cut or have
// bytes changed. None may end the process, and it must still take a sound digest.
func TestMalformedPacketsEndNoEntry(t *testing.T) {
	p, e, _, _ := startEntryWithUpstreams(t, answerNotRun, answerNotRun)
	other := startEntry(t, "entry-2", p.standin.Table)
	eventually(t, "the entries list each other", func() bool { return e.mesh.Size() == 2 && other.mesh.Size() == 2 })
	from, rng := &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 9}, rand.New(rand.NewPCG(1, 2))
	for range 5000 {
		b := other.mesh.Digest()
		switch rng.IntN(3) {
		case 0:
			b = b[:1+rng.IntN(len(b)-1)]
		case 1:
			b[rng.IntN(len(b))] ^= byte(1 + rng.IntN(255))
		default:
			b = make([]byte, 1+rng.IntN(200))
			for i := range b {
				b[i] = byte(rng.IntN(256))
			}
			b[0] = byte(1 + rng.IntN(5))
		}
		e.mesh.HandlePacket(b, from)
	}
	if !e.mesh.HandlePacket(other.mesh.Digest(), from) {
		t.Error("a sound digest is not taken after malformed packets")
	}
}
