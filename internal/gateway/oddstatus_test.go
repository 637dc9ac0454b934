package gateway

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
)

// TestStatusThatIsNoAnswers: an upstream in trouble answers with a status that HTTP/1.1 does not have, or that ends HTTP on the connection,
// and with a body that looks like an answer. The status was taken for an informational one and its body for the answer, which
// callers got as a 200; those from 600 were passed on. What follows such a head belongs to no call.
func TestStatusThatIsNoAnswers(t *testing.T) {
	const events = "id: 0\ndata: sound\n\n"
	statuses := []string{"000", "007", "099", "+20", "101", "199", "600", "999", "103"}
	for _, path := range []string{"/read/", "/act/", "/ask/", "/draft/"} {
		header, body, repeatable := plainHeader, "sound", path == "/read/" || path == "/ask/"
		if path == "/ask/" || path == "/draft/" {
			header, body = streamHeader, events
		}
		for _, length := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, length %v", strings.Trim(path, "/"), length), func(t *testing.T) {
				e, _ := startEntryWithRaw(t, 2, 4, func(r *http.Request, sent int) rawAnswer {
					id, status := r.Header.Get("X-Request-Id"), r.Header.Get("X-Odd")
					if sent > 0 {
						return rawAnswer{bytes: encodeRaw(byLength, 200, id, header, body)}
					}
					fake := encodeRaw(byLength, 200, id, header, strings.ReplaceAll(body, "sound", "false"))
					framed := ""
					if length || status == "103" { // without a length, 103 is an informational response
						framed = fmt.Sprintf("Content-Length: %d\r\n", len(fake))
					}
					return rawAnswer{fmt.Sprintf("HTTP/1.1 %s X\r\nX-Request-Id: %s\r\n%s%s\r\n%s", status, id, header, framed, fake), closeConn}
				})
				for _, status := range statuses {
					id := newID()
					r := e.call("POST", path+"1", "x"+status, map[string]string{"X-Odd": status, "X-Request-Id": id})
					wantStatus, wantBody := http.StatusBadGateway, ""
					if repeatable {
						wantStatus, wantBody = http.StatusOK, body
					}
					if r.status != wantStatus || r.body != wantBody || r.err != nil {
						t.Errorf("%s: %+v, want status %d and %q", status, r, wantStatus, wantBody)
					}
					eventually(t, "a log line names the call, the upstream and the status", func() bool {
						for _, line := range strings.Split(e.log.String(), "\n") {
							if strings.Contains(line, `"send_unanswered"`) && strings.Contains(line, id) && strings.Contains(line, `"upstream":"`) && strings.Contains(line, `\"`+status+`\"`) {
								return true
							}
						}
						return false
					})
				}
				if n := e.scope.Snapshot().Counters()["gateway.answers_invalid_status+"].Value(); n != int64(len(statuses)) {
					t.Errorf("%d answers were counted, want %d", n, len(statuses))
				}
			})
		}
	}
}
