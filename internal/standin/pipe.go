package standin

import (
	"context"
	"net"
	"net/http"
	"sync"

	"github.com/cockroachdb/errors"
)

// PipeListener is an in-memory net.Listener for tests that run stand-ins without ports.
type PipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

// NewPipeListener returns an open listener.
func NewPipeListener() *PipeListener {
	return &PipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
}

// errRefused is the cause of a failed dial to a closed listener.
var errRefused = errors.New("connection refused")

// Accept implements net.Listener.
func (l *PipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener. Later dials fail like refused connections.
func (l *PipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *PipeListener) Addr() net.Addr { return &net.UnixAddr{Name: "pipe", Net: "pipe"} }

// Dial connects to the listener.
func (l *PipeListener) Dial(ctx context.Context) (net.Conn, error) {
	client, server := net.Pipe()
	select {
	case l.conns <- server:
		return client, nil
	case <-l.closed:
		return nil, &net.OpError{Op: "dial", Net: "pipe", Addr: l.Addr(), Err: errRefused}
	case <-ctx.Done():
		return nil, &net.OpError{Op: "dial", Net: "pipe", Addr: l.Addr(), Err: ctx.Err()}
	}
}

// Transport returns a transport whose every connection goes to the listener.
func (l *PipeListener) Transport() *http.Transport {
	return &http.Transport{
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) { return l.Dial(ctx) },
	}
}

// Serve serves a handler on a new PipeListener; stop ends the server and its connections.
func Serve(handler http.Handler) (listener *PipeListener, stop func()) {
	listener = NewPipeListener()
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(listener) // returns when stop closes the listener
	}()
	return listener, func() {
		_ = server.Close() // closing an in-memory listener does not fail
		<-done
	}
}
