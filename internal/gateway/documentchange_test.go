package gateway

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/buckthornroute/buckthornroute/internal/settings"
	"github.com/buckthornroute/buckthornroute/structs"
)

// changingDocument is the document before a change, with the version as its argument. Calls on the route wait need
// permits of their upstreams.
const changingDocument = `{"version":%d,"tenants":[{"name":"a","api-keys":["ka"],"rate-per-s":500,"burst":500}],"routes":[
 {"name":"read","host":"h","prefix":"/read/","route-type":"safe","timeout-ms":5000,"service":"app","attempts":2},
 {"name":"act","host":"h","prefix":"/act/","route-type":"unsafe","timeout-ms":5000,"service":"app","attempts":2},
 {"name":"wait","host":"h","prefix":"/wait/","route-type":"unsafe","timeout-ms":5000,"service":"limited","attempts":2},
 {"name":"ask","host":"h","prefix":"/ask/","route-type":"stream","timeout-ms":5000,"service":"llm","attempts":2,"resumable":true},
 {"name":"draft","host":"h","prefix":"/draft/","route-type":"stream","timeout-ms":5000,"service":"llm","attempts":1,"retained":true,"retention-s":60}],
 "services":[{"name":"app","max-connections":500},{"name":"limited","max-connections":500},{"name":"llm","max-connections":500,"engine":{"slots":8,"kv-capacity-tokens":100000,"tokens-per-event":1}}],
 "limits":{"max-body-bytes":100000,"idle-timeout-ms":5000}}`

// documentChanges are the changes of the document, as replacements in it.
var documentChanges = map[string]*strings.Replacer{
	"routes dropped": strings.NewReplacer(`"host":"h"`, `"host":"elsewhere"`),
	"routes moved to a service without upstreams": strings.NewReplacer(`"service":"app"`, `"service":"x"`, `"service":"llm"`, `"service":"x"`, `"service":"limited"`, `"service":"x"`),
	"routes and services exchanged":               strings.NewReplacer(`"service":"app"`, `"service":"llm"`, `"service":"llm"`, `"service":"app"`),
	"services dropped":                            strings.NewReplacer(`{"name":"app",`, `{"name":"x1",`, `{"name":"llm",`, `{"name":"x2",`, `{"name":"limited",`, `{"name":"x3",`),
	"timeouts shortened":                          strings.NewReplacer(`"timeout-ms":5000`, `"timeout-ms":50`),
	"one attempt":                                 strings.NewReplacer(`"attempts":2`, `"attempts":1`),
	"idle timeout shortened":                      strings.NewReplacer(`"idle-timeout-ms":5000`, `"idle-timeout-ms":50`),
	"organisation's limit dropped":                strings.NewReplacer(`"rate-per-s":500,"burst":500`, `"rate-per-s":0`),
	"organisation's limit lowered":                strings.NewReplacer(`"rate-per-s":500,"burst":500`, `"rate-per-s":0.001,"burst":1`),
	"organisation's key withdrawn":                strings.NewReplacer(`"ka"`, `"kb"`),
	"smaller bodies":                              strings.NewReplacer(`"max-body-bytes":100000`, `"max-body-bytes":10`),
}

// changeAfter is how long after the calls the document changes; upstreams answer changingTime after they got a call.
const (
	changeAfter  = 100 * time.Millisecond
	changingTime = 2 * changeAfter
)

// changingCall is a call in progress during a change.
type changingCall struct {
	path string
	// lateBody sends the body after the change.
	lateBody bool
	// atLeast and atMost bound how often the call is sent. One that may be repeated may be sent again as its answer is late.
	atLeast, atMost int
}

// changingCalls are the calls in progress during a change. The end of the path says what the upstreams do with the
// first send, changingTime after they got it.
var changingCalls = []changingCall{
	{"/read/answer", false, 1, 2},
	{"/act/answer", false, 1, 1},
	{"/ask/answer", false, 1, 2},
	{"/draft/answer", false, 1, 1},
	{"/read/refuse", false, 1, 2}, // it has not run the call
	{"/act/refuse", false, 1, 2},
	{"/ask/refuse", false, 1, 2},
	{"/draft/refuse", false, 1, 1},
	{"/read/reset", false, 1, 2},
	{"/act/reset", false, 1, 1},
	{"/ask/reset", false, 1, 2},
	{"/draft/reset", false, 1, 1},
	{"/ask/part", false, 1, 2}, // some events, then a reset; without another upstream that goes on, the answer breaks off
	{"/read/answer", true, 0, 2},
	{"/act/answer", true, 0, 1},
	{"/ask/answer", true, 0, 2},
	{"/draft/answer", true, 0, 1},
	{"/wait/answer", false, 0, 1},
	{"/wait/answer", false, 0, 1},
	{"/wait/answer", false, 0, 1},
	{"/wait/answer", false, 0, 1},
}

// startChanging starts an entry that can be stopped, with upstreams that act as the paths say.
func startChanging(t *testing.T) (*testPlatform, *testEntry, []*rawUpstream) {
	t.Helper()
	p := newTestPlatform(t)
	p.write("op//config", fmt.Sprintf(changingDocument, 1))
	var all []*rawUpstream
	for _, service := range []string{"app", "llm", "limited"} {
		for _, u := range newRawUpstreams(t, service, 2, func(r *http.Request, sent int) rawAnswer {
			id, limit := r.Header.Get("X-Request-Id"), ""
			if service == "limited" {
				limit = "Server-Limit: 3\r\n"
			} else if sent == 0 {
				time.Sleep(changingTime)
			}
			answer := rawAnswer{bytes: encodeRaw(byLength, 200, id, limit+plainHeader, "done")}
			if service == "llm" {
				answer.bytes = encodeRaw(byChunks, 200, id, streamHeader, eventTexts(restOf(r), streamEvents-1)...)
			}
			if sent > 0 {
				return answer
			}
			switch r.URL.Path[strings.LastIndexByte(r.URL.Path, '/')+1:] {
			case "refuse":
				return rawAnswer{bytes: encodeRaw(byLength, 503, id, "X-Not-Executed: 1\r\n")}
			case "reset":
				return rawAnswer{end: resetConn}
			case "part":
				return rawAnswer{bytes: strings.TrimSuffix(encodeRaw(byChunks, 200, id, streamHeader, eventTexts(0, 1)...), "0\r\n\r\n"), end: resetConn}
			}
			return answer
		}) {
			p.registerRaw(u, service)
			all = append(all, u)
		}
	}
	e := startEntryChanged(t, "entry-1", p.standin.Table, func(s *settings.Gateway) {
		s.ShutdownGrace = structs.Duration(3 * time.Second)
	})
	e.drainDelay = 400 * time.Millisecond
	eventually(t, "all upstreams are known", func() bool { return e.fleet.Load().registry.Len() == len(all) })
	// The limited upstreams name their limits, once the entry grants tokens of the organisation.
	for i := range 4 {
		eventually(t, "a call is served", func() bool {
			return e.call("POST", "/wait/answer", "body", map[string]string{"Api-Key": "ka", "X-Program-Id": fmt.Sprint("p", i)}).status == http.StatusOK
		})
	}
	return p, e, all
}

// TestCallsLostInDocumentChange changes the document, and reloads the settings, while calls wait for an upstream, are sent,
// or are about to be sent again; with a stop just after that, too. It guards against calls that get neither an answer
// nor a refusal, a refused call that ran, and a second send of one that must not be repeated.
func TestCallsLostInDocumentChange(t *testing.T) {
	for name, change := range documentChanges {
		for _, stops := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, stops %v", name, stops), func(t *testing.T) {
				t.Parallel()
				p, e, upstreams := startChanging(t)
				before := e.scope.Snapshot().Counters()["gateway.requests+"].Value()
				var calls sync.WaitGroup
				for i, c := range changingCalls {
					calls.Go(func() { c.check(t, e, upstreams, fmt.Sprint("call-", i)) })
				}
				eventually(t, "all calls have arrived", func() bool {
					n := e.scope.Snapshot().Counters()["gateway.requests+"]
					return n != nil && n.Value() >= before+int64(len(changingCalls))
				})
				time.Sleep(changeAfter)
				e.reloaded <- e.cfg
				p.write("op//config", change.Replace(fmt.Sprintf(changingDocument, 2)))
				eventually(t, "the document is in force", func() bool { return e.routes.Load().Document().Version == 2 })
				if stops {
					e.reloaded <- e.cfg
					e.stop()
				}
				calls.Wait()
			})
		}
	}
}

// check sends the call and checks that it is answered whole, sent as often as it may be, and not run if it is refused.
func (call changingCall) check(t *testing.T, e *testEntry, upstreams []*rawUpstream, id string) {
	header := "X-Timeout-Ms: 4000\r\nApi-Key: ka\r\nX-Program-Id: p-" + id + "\r\n"
	if strings.HasPrefix(call.path, "/ask/") || strings.HasPrefix(call.path, "/draft/") {
		header += "X-Session-Id: s\r\nX-Token-Budget: 1000\r\nX-Token-Count: 100,10\r\nX-Model: m\r\nX-Prompt-Prefix: a1:50\r\n"
	}
	text := strings.Replace(requestText(call.path, id, "body"), "\r\n\r\n", "\r\n"+header+"\r\n", 1)
	br, c := e.callRaw(strings.TrimSuffix(text, "body"))
	defer c.Close()
	if call.lateBody {
		time.Sleep(changingTime)
	}
	if _, err := io.WriteString(c, "body"); err != nil {
		t.Errorf("%s %s: %v", id, call.path, err)
	}
	answer := readReply(br)
	sends := sendsOf(upstreams, id)
	refused := answer.status == http.StatusServiceUnavailable || answer.status == http.StatusTooManyRequests
	switch {
	case answer.err != nil && (call.path != "/ask/part" || answer.status == 0):
		t.Errorf("%s %s: sent %d times and not answered whole: %+v", id, call.path, sends, answer)
	case sends < call.atLeast || sends > call.atMost:
		t.Errorf("%s %s: sent %d times, want %d to %d", id, call.path, sends, call.atLeast, call.atMost)
	case refused && sends > 0 && !strings.HasSuffix(call.path, "/refuse"):
		t.Errorf("%s %s: answered %d after it was sent", id, call.path, answer.status)
	}
}
