package gateway

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/buckthornroute/buckthornroute/organisation"
	"github.com/buckthornroute/buckthornroute/platform"
	"github.com/buckthornroute/buckthornroute/relay"
)

// Reasons logged for requests without an organisation.
const (
	reasonKeyMissing  = "key_missing"
	reasonKeyUnknown  = "key_unknown"
	reasonKeySeveral  = "keys_several"
	reasonDocumentOld = "document_old"
)

// organisationOf returns the organisation that a caller's keys identify. Otherwise reason says why
// there is none.
func organisationOf(t *organisation.Table, keys []string) (o *organisation.Organisation, reason string) {
	switch {
	case len(keys) > 1:
		return nil, reasonKeySeveral
	case len(keys) == 0 || keys[0] == "":
		return nil, reasonKeyMissing
	}
	if o = t.ByKey(keys[0]); o == nil {
		return nil, reasonKeyUnknown
	}
	return o, ""
}

// unauthenticatedStatus returns the status for a request on the route, nil for none, that has no
// organisation for a reason; 0 if it may run. It answers callers whose key was withdrawn, or added
// a moment ago while the table is unreachable for this entry: documentAge is how long ago the
// document was confirmed to be the newest, and a newer one could have the key. A newer document can't
// help a request without a key, except by a public route that this one does not have.
func unauthenticatedStatus(route *relay.Route, reason string, documentAge time.Duration) int {
	switch {
	case route != nil && route.Public:
		return 0
	case documentAge > maxDocumentAge && (reason != reasonKeyMissing || route == nil):
		return http.StatusServiceUnavailable
	default:
		return http.StatusUnauthorized
	}
}

// authenticate finds the organisation of the call, if the document has organisations. When the call
// must not run without one, it answers the caller and returns false. A call without a valid key is
// answered in the same way whether it matches a route or not, so that strangers do not learn which
// routes there are. superseded reports that nothing was answered since a newer document is in force.
func (g *Gateway) authenticate(w http.ResponseWriter, j *job, t *relay.RouteTable) (ok, superseded bool) {
	organisations := t.Organisations()
	if organisations.Len() == 0 {
		return true, false
	}
	j.identified = true
	var reason string
	if j.org, reason = organisationOf(organisations, platform.CallerKeys(j.request.Header)); j.org != nil {
		return true, false
	}
	var age time.Duration
	if unauthenticatedStatus(j.route, reason, never) == http.StatusServiceUnavailable { // otherwise the age does not matter
		age, superseded = g.confirmedAge(j.request.Context(), t)
	}
	status := unauthenticatedStatus(j.route, reason, age)
	if superseded || status == 0 {
		return !superseded, superseded
	}
	g.answerBeforeBody(w, j)
	cause := errors.Newf("%s; document %d last confirmed %s ago", reason, j.version, ageText(age))
	if status == http.StatusServiceUnavailable {
		g.metrics.keysUnconfirmed.Inc(1)
		g.refuse(w, j, reasonDocumentOld, cause, retryTable)
		return false, false
	}
	g.metrics.unauthenticated.Inc(1)
	g.reject(w, j, status, reason, cause)
	return false, false
}

// ageText formats an age of the document.
func ageText(age time.Duration) string {
	if age == never {
		return "never"
	}
	return age.Round(time.Millisecond).String()
}

// maxBodyWait is how long an answer waits for the rest of the body of a request that must not run:
// most bodies arrive together with the head. After it the connection is closed with the answer.
const maxBodyWait = 50 * time.Millisecond

// answerBeforeBody keeps an answer from waiting longer than maxBodyWait for the body of the request.
// net/http reads up to 256 KiB of a body that the handler has not read, to use the connection again.
func (g *Gateway) answerBeforeBody(w http.ResponseWriter, j *job) {
	if j.request.ContentLength == 0 {
		return
	}
	if err := http.NewResponseController(w).SetReadDeadline(time.Now().Add(maxBodyWait)); err != nil {
		g.requestLog("read_deadline_not_set", j).Err(err).End()
	}
}

// organisationName returns the name of the call's organisation; empty when it has none.
func (j *job) organisationName() string {
	if j.org == nil {
		return ""
	}
	return j.org.Name
}

// maxOrganisationLines bounds the log lines of one kind about the organisations of one document.
const maxOrganisationLines = 20

// logOrganisations logs what is wrong with the organisations of a new document.
func (g *Gateway) logOrganisations(version uint64, t *organisation.Table) {
	for i, s := range t.Shared() {
		if i == maxOrganisationLines {
			break
		}
		g.env.Requests.Warn("organisations_share_key").Int("document", int64(version)).Str("holder", s.Holder).Str("organisation", s.Other).
			Int("shared_keys", int64(len(t.Shared()))).End()
	}
	if without := t.WithoutKeys(); len(without) > 0 {
		g.env.Requests.Warn("organisations_without_keys").Int("document", int64(version)).Int("count", int64(len(without))).
			Str("first", without[0]).End()
	}
}
