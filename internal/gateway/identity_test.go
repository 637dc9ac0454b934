package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/buckthornroute/buckthornroute/organisation"
	"github.com/buckthornroute/buckthornroute/relay"
	"github.com/buckthornroute/buckthornroute/resume"
)

// sharedDocument returns testDocument with organisations: a with the key ka, and b with the keys kb
// and kc. The routes whose names are listed are public.
func sharedDocument(version int, public ...string) string {
	doc := fmt.Sprintf(testDocument, version)
	for _, name := range public {
		doc = strings.Replace(doc, fmt.Sprintf(`{"name":%q,`, name), fmt.Sprintf(`{"name":%q,"public":true,`, name), 1)
	}
	return withTenants(doc, `{"name":"a","api-keys":["ka"]},{"name":"b","api-keys":["kb","kc"]}`)
}

// withTenants adds organisations to a document.
func withTenants(doc, tenants string) string {
	return strings.Replace(doc, `"routes":`, `"tenants":[`+tenants+`],"routes":`, 1)
}

// startSharedEntry starts an entry with the document of organisations and an upstream of each service.
func startSharedEntry(t *testing.T, doc string, llm answerFunc) (*testPlatform, *testEntry, *scriptedUpstream, *scriptedUpstream) {
	t.Helper()
	p := newTestPlatform(t)
	app, model := newScriptedUpstream(t, "app-1", answerSealed(http.StatusOK, "ok")), newScriptedUpstream(t, "llm-1", llm)
	p.write("op//config", doc)
	p.registerUpstream(app, "app", "ready", 1)
	p.registerUpstream(model, "llm", "ready", 1)
	return p, startEntry(t, "entry-1", p.standin.Table), app, model
}

// raw sends the head of a request with the header lines and returns the status of the answer. The
// body of bodyLen bytes is never sent.
func (e *testEntry) raw(path string, bodyLen int, lines ...string) int {
	e.t.Helper()
	c, err := net.Dial("tcp", strings.TrimPrefix(e.base, "http://"))
	if err != nil {
		e.t.Fatal(err)
	}
	defer c.Close()
	if err := c.SetDeadline(time.Now().Add(time.Second)); err != nil {
		e.t.Fatal(err)
	}
	method, length := "GET", ""
	if bodyLen > 0 {
		method, length = "POST", fmt.Sprintf("Content-Length: %d\r\n", bodyLen)
	}
	_, _ = fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: h\r\nX-Request-Id: %s\r\n%s%s\r\n", method, path, newID(), length, strings.Join(append(lines, ""), "\r\n"))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		e.t.Errorf("%s with %q: %v", path, lines, err)
		return 0
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

// TestKeysAreChecked guards against a request that runs without a valid key, against a key that is
// logged, and against an answer that waits for the body of a request that must not run.
func TestKeysAreChecked(t *testing.T) {
	_, e, app, _ := startSharedEntry(t, sharedDocument(1), answerEvents(0, 1, false))
	for _, c := range []struct {
		path    string
		bodyLen int
		lines   []string
		want    int
	}{
		{"/read/1", 0, nil, 401},
		{"/act/1", 1000, nil, 401},
		{"/act/1", 1000, []string{"Api-Key: secret-1"}, 401},
		{"/read/1", 0, []string{"Api-Key: secret-1"}, 401},
		{"/read/1", 0, []string{"Api-Key: "}, 401},
		{"/read/1", 0, []string{"Api-Key: KA"}, 401},
		{"/read/1", 0, []string{"Api-Key: ka", "Api-Key: kb"}, 401},
		{"/read/1", 0, []string{"Api-Key: ka", "Api-Key: ka"}, 401},
		{"/read/1", 0, []string{"Api-Key: ka, kb"}, 401},
		{"/read/1", 0, []string{"X-Tenant: a"}, 401},
		{"/no/route", 0, nil, 401},
		{"/no/route", 1000, []string{"Api-Key: secret-1"}, 401},
		{"/no/route", 0, []string{"Api-Key: ka"}, 404},
	} {
		if got := e.raw(c.path, c.bodyLen, c.lines...); got != c.want {
			t.Errorf("%s with %q: status %d, want %d", c.path, c.lines, got, c.want)
		}
	}
	// A connection whose request was rejected with its body serves the next request.
	client := &http.Transport{}
	defer client.CloseIdleConnections()
	for i, key := range []string{"secret-1", "secret-1"} {
		req, _ := http.NewRequest(http.MethodPost, e.base+"/act/1", strings.NewReader(strings.Repeat("x", 5000)))
		req.Host, req.Header = "h", http.Header{"X-Request-Id": {newID()}, "Api-Key": {key}}
		resp, err := client.RoundTrip(req)
		if err != nil || resp.StatusCode != http.StatusUnauthorized || resp.Close {
			t.Fatalf("request %d on one connection: %+v, error %v, want status 401 and the connection kept", i, resp, err)
		}
		_ = resp.Body.Close()
	}
	if n := len(app.requests()); n != 0 {
		t.Errorf("%d requests without a valid key ran", n)
	}
	if got := e.raw("/read/1", 0, "Api-Key: kc"); got != 200 {
		t.Errorf("status %d with a valid key, want 200", got)
	}
	eventually(t, "the answers are logged", func() bool { return strings.Contains(e.log.String(), `"organisation":"b"`) })
	for _, key := range []string{"secret-1", `"ka"`, `"kb"`, `"kc"`, "ka, kb"} {
		if strings.Contains(e.log.String(), key) {
			t.Errorf("the log contains the key %s", key)
		}
	}
}

// TestForgedIdentityHeaders guards against an upstream that takes a caller's text for the name of an
// organisation or receives a key, in whatever form the caller sends the headers.
func TestForgedIdentityHeaders(t *testing.T) {
	_, e, app, _ := startSharedEntry(t, sharedDocument(1, "read"), answerEvents(0, 1, false))
	for _, c := range []struct {
		path  string
		lines []string
		want  []string
	}{
		{"/act/1", []string{"Api-Key: ka", "X-Tenant: b"}, []string{"a"}},
		{"/act/1", []string{"X-Tenant: b", "api-key: ka", "x-tenant: c"}, []string{"a"}},
		{"/act/1", []string{"Api-Key: ka", "X-TENANT: b", "Connection: Api-Key, X-Tenant"}, []string{"a"}},
		{"/act/1", []string{"Connection: close, x-tenant", "Connection: api-key", "Api-Key: ka"}, []string{"a"}},
		{"/read/1", []string{"Api-Key: kb", "X-Tenant: a"}, []string{"b"}},
		{"/read/1", []string{"X-Tenant: a"}, nil},
		{"/read/1", []string{"X-Tenant: a", "Api-Key: unknown", "X-Tenant: b"}, nil},
		{"/read/1", []string{"X-Tenant: a", "Api-Key: ka", "Api-Key: kb"}, nil},
	} {
		before := len(app.requests())
		if got := e.raw(c.path, 0, c.lines...); got != 200 {
			t.Errorf("%s with %q: status %d, want 200", c.path, c.lines, got)
			continue
		}
		h := app.requests()[before].header
		if !slices.Equal(h.Values("X-Tenant"), c.want) || h.Values("Api-Key") != nil {
			t.Errorf("%s with %q: the upstream received organisation %q and key %q, want %q and no key", c.path, c.lines, h.Values("X-Tenant"), h.Values("Api-Key"), c.want)
		}
	}
}

// TestDocumentWithoutOrganisations guards against a change of what upstreams receive where nobody
// asked for organisations.
func TestDocumentWithoutOrganisations(t *testing.T) {
	_, e, app, _ := startEntryWithUpstreams(t, answerSealed(http.StatusOK, "ok"), answerEvents(0, 1, false))
	if r := e.call("GET", "/read/1", "", map[string]string{"Api-Key": "k", "X-Tenant": "x"}); r.status != 200 {
		t.Fatalf("%+v, want status 200", r)
	}
	if h := app.requests()[0].header; h.Get("Api-Key") != "k" || h.Get("X-Tenant") != "x" {
		t.Errorf("the upstream received %v, want the caller's headers", h)
	}
}

// TestUnauthenticatedStatus guards against a 401, which callers take for final, where a newer document
// may have the key, and against a retry that can't help.
func TestUnauthenticatedStatus(t *testing.T) {
	private, public := &relay.Route{}, &relay.Route{Public: true}
	fresh, old := maxDocumentAge, maxDocumentAge+time.Millisecond
	for _, c := range []struct {
		route  *relay.Route
		reason string
		age    time.Duration
		want   int
	}{
		{private, reasonKeyUnknown, fresh, 401}, {private, reasonKeyUnknown, old, 503}, {private, reasonKeyUnknown, never, 503},
		{private, reasonKeySeveral, fresh, 401}, {private, reasonKeySeveral, old, 503},
		{private, reasonKeyMissing, fresh, 401}, {private, reasonKeyMissing, old, 401},
		{nil, reasonKeyMissing, fresh, 401}, {nil, reasonKeyMissing, old, 503}, {nil, reasonKeyUnknown, old, 503},
		{public, reasonKeyUnknown, fresh, 0}, {public, reasonKeyMissing, old, 0},
	} {
		if got := unauthenticatedStatus(c.route, c.reason, c.age); got != c.want {
			t.Errorf("route %v, %s, age %v: status %d, want %d", c.route, c.reason, c.age, got, c.want)
		}
	}
}

// TestTurnOfAnotherOrganisation guards against a history that reaches another organisation, or a
// caller without one that names the organisation's turn by its stored id.
func TestTurnOfAnotherOrganisation(t *testing.T) {
	p, e, _, llm := startSharedEntry(t, sharedDocument(1, "draft"), answerEvents(0, 1, false))
	other := startEntry(t, "entry-2", p.standin.Table)
	if r := e.call("POST", "/draft/1", "secret ", map[string]string{"Api-Key": "ka", "X-Request-Id": "turn-a"}); r.status != 200 {
		t.Fatalf("%+v, want status 200", r)
	}
	for _, entry := range []*testEntry{e, other} {
		for _, c := range []struct{ key, previous string }{
			{"kb", "turn-a"}, {"", "turn-a"}, {"", organisation.ScopeOf("a") + "turn-a"}, {"kb", organisation.ScopeOf("a") + "turn-a"},
		} {
			if r := entry.call("POST", "/draft/1", "next", map[string]string{"Api-Key": c.key, "X-Previous-Turn": c.previous}); r.status != 404 {
				t.Errorf("%s: key %q, turn %q: status %d, want 404", entry.cfg.Node, c.key, c.previous, r.status)
			}
		}
	}
	if n := len(llm.requests()); n != 1 {
		t.Fatalf("%d requests reached the engine, want the first alone", n)
	}
	for _, entry := range []*testEntry{other, e} {
		r := entry.call("POST", "/draft/1", "next", map[string]string{"Api-Key": "ka", "X-Previous-Turn": "turn-a"})
		requests := llm.requests()
		if body := requests[len(requests)-1].body; r.status != 200 || !strings.HasPrefix(body, "secret ") {
			t.Errorf("%s: status %d and body %q for the organisation's own turn, want the history", entry.cfg.Node, r.status, body)
		}
	}
}

// TestBudgetsAndStreamsOfOrganisations guards against two organisations that share a budget, or the
// origin of a stream, because they chose the same ids.
func TestBudgetsAndStreamsOfOrganisations(t *testing.T) {
	_, e, _, _ := startSharedEntry(t, sharedDocument(1), answerEvents(0, 1, false))
	turn := func(key, id string) int {
		return e.call("POST", "/ask/1", "x", map[string]string{
			"Api-Key": key, "X-Request-Id": id, "X-Program-Id": "p", "X-Token-Budget": "20", "X-Token-Count": "10,20",
		}).status
	}
	if a, again, b := turn("ka", "s1"), turn("ka", "s2"), turn("kb", "s1"); a != 200 || again != 402 || b != 200 {
		t.Errorf("statuses %d and %d of a, %d of b, want 200, 402 and 200", a, again, b)
	}
	for id, want := range map[string]bool{"s1": false, organisation.ScopeOf("a") + "s1": true, organisation.ScopeOf("b") + "s1": true} {
		if _, _, known := e.origins.local(resume.KeyOf(id)); known != want {
			t.Errorf("origin of stream %q known: %v, want %v", id, known, want)
		}
	}
}
