package daemon

import (
	"net"
	"net/http"

	"github.com/cockroachdb/errors"
)

// Listen returns the listeners given, or opens those that are nil at their
// addresses. Errors name the settings' key and the address; then none is open.
func Listen(peer net.Listener, peerAddress string, http net.Listener, httpAddress string) (net.Listener, net.Listener, error) {
	peer, err := listen(peer, "listen_peer", peerAddress)
	if err != nil {
		return nil, nil, err
	}
	http, err = listen(http, "listen_http", httpAddress)
	if err != nil {
		_ = peer.Close()
		return nil, nil, err
	}
	return peer, http, nil
}

func listen(given net.Listener, key, address string) (net.Listener, error) {
	if given != nil {
		return given, nil
	}
	l, err := net.Listen("tcp", address)
	return l, errors.Wrapf(err, "%s %q", key, address)
}

// IgnoreServerClosed returns err, but nil for that of a server that was closed.
func IgnoreServerClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}
