package daemon

import (
	"net"
	"net/http"

	"github.com/cockroachdb/errors"
)

// Listen returns the listeners for peers and for HTTP. It opens each one that is nil at its
// address; tests and embedders pass in open ones. An error names the settings key and the
// address. If the HTTP listener can't be opened, the peer listener is closed, also when it was
// passed in.
func Listen(peerListener net.Listener, peerAddress string, httpListener net.Listener, httpAddress string) (net.Listener, net.Listener, error) {
	peerListener, err := listen(peerListener, "listen_peer", peerAddress)
	if err != nil {
		return nil, nil, err
	}
	httpListener, err = listen(httpListener, "listen_http", httpAddress)
	if err != nil {
		_ = peerListener.Close()
		return nil, nil, err
	}
	return peerListener, httpListener, nil
}

// listen returns the given listener, or opens one at address if it is nil; key is for the error.
func listen(given net.Listener, key, address string) (net.Listener, error) {
	if given != nil {
		return given, nil
	}
	l, err := net.Listen("tcp", address)
	return l, errors.Wrapf(err, "listen on %s %q", key, address)
}

// IgnoreServerClosed returns err, or nil if err is http.ErrServerClosed.
func IgnoreServerClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}
