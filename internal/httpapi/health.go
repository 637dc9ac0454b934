package httpapi

import (
	"net/http"
	"time"

	"github.com/buckthornroute/buckthornroute/structs"
)

// healthz answers the liveness probe.
func (a *api) healthz(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, map[string]string{"status": "ok"})
}

// notReadyRetryAfter is the Retry-After of the response to a failed readiness probe.
const notReadyRetryAfter = time.Second

// readyz answers the readiness probe: whether the process accepts new work.
func (a *api) readyz(w http.ResponseWriter, _ *http.Request) {
	reason := a.NotReady()
	if reason == "" {
		writeJSON(w, http.StatusOK, map[string]string{"status": "ready"})
		return
	}
	writeProblem(w, &structs.Refusal{
		Code:       structs.CodeNotReady,
		Outcome:    structs.OutcomeNotRun,
		Step:       "readiness",
		RetryAfter: notReadyRetryAfter,
		Detail:     reason,
	})
}

// notFound responds to a path or method without a route.
func (a *api) notFound(w http.ResponseWriter, r *http.Request) {
	writeProblem(w, structs.Refusalf(structs.CodeNotFound, structs.OutcomeNotRun, "route",
		"%s %.200s is not a route of this API", r.Method, r.URL.Path))
}

// recoverPanic responds to a handler's panic with a problem document; net/http alone would
// close the connection without a response. Turns of other requests are not affected. Panics
// with http.ErrAbortHandler are passed on: they close the connection on purpose.
func recoverPanic(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() {
			v := recover()
			if v == nil {
				return
			}
			if v == http.ErrAbortHandler { //nolint:errorlint // net/http panics with this very value
				panic(v)
			}
			writeProblem(w, structs.Refusalf(structs.CodeInternal, structs.OutcomeUnknown, "handle request", "panic: %v", v))
		}()
		next.ServeHTTP(w, r)
	})
}
