package daemon

import (
	"net/http"
	"time"
)

// Limits of the HTTP connections to one service.
const (
	maxIdleConns    = 256
	idleConnTimeout = time.Minute
)

// HTTPTransport returns a transport of its own for the clients of a process. It
// uses no proxy: the process itself stands on the only way to its upstream.
func HTTPTransport() *http.Transport {
	return &http.Transport{
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     idleConnTimeout,
	}
}
