package soak

import (
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// link is a loopback proxy in front of one address that injects network faults.
type link struct {
	listenAddress, target string

	// delay is added to each read in either direction, in nanoseconds.
	delay atomic.Int64
	// dropToTarget drops bytes towards the target, dropFromTarget those from it;
	// connections stay open.
	dropToTarget, dropFromTarget atomic.Bool
	// refuse closes each new connection.
	refuse atomic.Bool

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
}

func newLink(t *testing.T, target string) *link {
	t.Helper()
	k := &link{listenAddress: freePort(t), target: target, conns: map[net.Conn]bool{}}
	if err := k.listen(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(k.shutDown)
	return k
}

func (k *link) address() string { return k.listenAddress }

// listen accepts connections until shutDown.
func (k *link) listen() error {
	l, err := net.Listen("tcp", k.listenAddress)
	if err != nil {
		return err
	}
	k.mu.Lock()
	k.listener = l
	k.mu.Unlock()
	go k.serve(l)
	return nil
}

// shutDown refuses new connections and resets the others, as the end of the process behind the link
// does.
func (k *link) shutDown() {
	k.mu.Lock()
	k.listener.Close()
	k.mu.Unlock()
	k.reset()
}

func (k *link) serve(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		if k.refuse.Load() {
			c.Close()
			continue
		}
		go k.proxyConn(c)
	}
}

func (k *link) proxyConn(c net.Conn) {
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
	go k.copyBytes(d, c, &k.dropToTarget, &both)
	go k.copyBytes(c, d, &k.dropFromTarget, &both)
	both.Wait()
	k.mu.Lock()
	delete(k.conns, c)
	delete(k.conns, d)
	k.mu.Unlock()
	c.Close()
	d.Close()
}

// copyBytes copies bytes until one side ends. From the first dropped bytes on, it drops all
// later bytes of the same direction as well, since the stream has a gap.
func (k *link) copyBytes(to, from net.Conn, drop *atomic.Bool, done *sync.WaitGroup) {
	defer done.Done()
	buf := make([]byte, 16<<10)
	lost := false
	for {
		n, err := from.Read(buf)
		if d := time.Duration(k.delay.Load()); d > 0 {
			pause(d)
		}
		lost = lost || drop.Load()
		if n > 0 && !lost {
			if _, werr := to.Write(buf[:n]); werr != nil {
				err = werr
			}
		}
		if err != nil {
			// A stream with a gap must not look complete to its receiver.
			if t, ok := to.(*net.TCPConn); ok && !lost {
				_ = t.CloseWrite()
			}
			return
		}
	}
}

// pause waits for d.
func pause(d time.Duration) { <-time.After(d) }

// reset closes all connections with a TCP reset.
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

// heal ends all faults of the link. It resets the connections if bytes may have been
// dropped, since their streams are incomplete.
func (k *link) heal() {
	k.delay.Store(0)
	dropped := k.dropToTarget.Swap(false)
	dropped = k.dropFromTarget.Swap(false) || dropped
	k.refuse.Store(false)
	if dropped {
		k.reset()
	}
}
