package main

import (
	"fmt"
	"net"
	"net/netip"
	"sync/atomic"
	"syscall"
	"time"
)

// goDark has the engine's machine fall silent: nothing that is sent on open connections arrives, and attempts to connect
// get no answer, neither an acceptance nor a reset.
func (e *engine) goDark() error {
	e.dark.Store(true)
	close(e.quit)
	if err := e.listener.Close(); err != nil {
		return fmt.Errorf("close the listener of %s: %w", e.id, err)
	}
	address, err := netip.ParseAddrPort(e.address)
	if err != nil {
		return err
	}
	// The kernel drops the first packet of a connection while the queue of a socket that nobody accepts from is full.
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return fmt.Errorf("socket: %w", err)
	}
	if err := syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return fmt.Errorf("SO_REUSEADDR: %w", err)
	}
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Port: int(address.Port()), Addr: address.Addr().As4()}); err != nil {
		return fmt.Errorf("bind %s: %w", e.address, err)
	}
	if err := syscall.Listen(fd, 0); err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	for range 8 {
		c, err := net.DialTimeout("tcp", e.address, 30*time.Millisecond)
		if err != nil {
			return nil // the queue is full
		}
		e.queued = append(e.queued, c)
	}
	return fmt.Errorf("the queue of %s does not fill", e.id)
}

// darkness is the part of an engine that goDark needs.
type darkness struct {
	listener net.Listener
	dark     atomic.Bool
	queued   []net.Conn
}
