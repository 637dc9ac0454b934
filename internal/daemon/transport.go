package daemon

import (
	"net/http"
	"time"
)

// Limits of the idle HTTP connections to one host.
const (
	maxIdleConns    = 256
	idleConnTimeout = time.Minute
)

// HTTPTransport returns a new transport for the HTTP clients of a process. It uses no
// proxy, because the process itself is the only path to its upstream.
func HTTPTransport() *http.Transport {
	return &http.Transport{
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     idleConnTimeout,
	}
}
