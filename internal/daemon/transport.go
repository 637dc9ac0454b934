package daemon

import (
	"net/http"
	"time"
)

const (
	// maxIdleConnsPerHost bounds the idle connections to one host.
	maxIdleConnsPerHost = 256
	// idleConnTimeout is the time after which an idle connection is closed.
	idleConnTimeout = time.Minute
)

// HTTPTransport returns a new transport for the HTTP clients of a process. It uses no
// proxy and ignores HTTP_PROXY and similar variables, because the process itself is the
// only path to its upstream and no proxy may stand between them.
func HTTPTransport() *http.Transport {
	return &http.Transport{
		MaxIdleConnsPerHost: maxIdleConnsPerHost,
		IdleConnTimeout:     idleConnTimeout,
	}
}
