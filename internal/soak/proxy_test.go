package soak

import (
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// link is a loopback proxy in front of one address, whose connections can be harmed.
type link struct {
	listener net.Listener
	target   string

	// delay is added to each piece that passes, in nanoseconds.
	delay atomic.Int64
	// mute drops what passes towards the target, deaf what comes back; connections stay.
	mute, deaf atomic.Bool
	// refuse closes new connections.
	refuse atomic.Bool

	mu    sync.Mutex
	conns map[net.Conn]bool
}

func newLink(t *testing.T, target string) *link {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	k := &link{listener: l, target: target, conns: map[net.Conn]bool{}}
	t.Cleanup(func() {
		l.Close()
		k.reset()
	})
	go k.serve()
	return k
}

func (k *link) address() string { return k.listener.Addr().String() }

func (k *link) serve() {
	for {
		c, err := k.listener.Accept()
		if err != nil {
			return
		}
		if k.refuse.Load() {
			c.Close()
			continue
		}
		go k.join(c)
	}
}

func (k *link) join(c net.Conn) {
	d, err := net.DialTimeout("tcp", k.target, time.Second)
	if err != nil {
		c.Close()
		return
	}
	k.mu.Lock()
	k.conns[c], k.conns[d] = true, true
	k.mu.Unlock()
	var both sync.WaitGroup
	both.Add(2)
	go k.pump(d, c, &k.mute, &both)
	go k.pump(c, d, &k.deaf, &both)
	both.Wait()
	k.mu.Lock()
	delete(k.conns, c)
	delete(k.conns, d)
	k.mu.Unlock()
	c.Close()
	d.Close()
}

// pump passes bytes on until one side ends. Bytes that are held back are lost.
func (k *link) pump(to, from net.Conn, held *atomic.Bool, done *sync.WaitGroup) {
	defer done.Done()
	buf := make([]byte, 16<<10)
	lost := false
	for {
		n, err := from.Read(buf)
		if d := time.Duration(k.delay.Load()); d > 0 {
			pause(d)
		}
		lost = lost || held.Load()
		if n > 0 && !lost {
			if _, werr := to.Write(buf[:n]); werr != nil {
				err = werr
			}
		}
		if err != nil {
			if t, ok := to.(*net.TCPConn); ok && !lost {
				_ = t.CloseWrite()
			}
			return
		}
	}
}

// pause waits as a harmed link does.
func pause(d time.Duration) { <-time.After(d) }

// reset closes all connections at once.
func (k *link) reset() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for c := range k.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		c.Close()
	}
}

// heal ends what harms the link; connections that lost bytes are reset.
func (k *link) heal() {
	k.delay.Store(0)
	wasHeld := k.mute.Swap(false)
	wasHeld = k.deaf.Swap(false) || wasHeld
	k.refuse.Store(false)
	if wasHeld {
		k.reset()
	}
}
