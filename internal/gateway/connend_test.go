package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/buckthornroute/buckthornroute/internal/connstate"
)

// TestUnansweredConnectionsAreLogged: each connection that ends while a request is arriving has a line that says why, and a
// counter.
func TestUnansweredConnectionsAreLogged(t *testing.T) {
	entries, _ := startStoppable(t, 1)
	e := entries[0]
	open := func(text string) net.Conn {
		br, c := e.callRaw(requestText("/act/1", newID(), "x"))
		if r := readReply(br); r.status != http.StatusOK {
			t.Fatalf("first request: %+v", r)
		}
		_, _ = io.WriteString(c, text)
		return c
	}
	part := requestText("/act/1", "cut", "x")[:30]
	c := open(part)
	time.Sleep(20 * time.Millisecond)
	_ = c.Close()
	if c = open("no request\r\n\r\n"); readReply(bufio.NewReader(c)).status != http.StatusBadRequest {
		t.Error("a malformed head was not answered with 400")
	}
	open(part) // until the process ends
	e.stop()
	for reason, counter := range map[string]string{connstate.EndCaller: "heads_broken_off", connstate.EndMalformed: "heads_malformed", connstate.EndShutdown: "requests_cut"} {
		eventually(t, "the line of "+reason, func() bool {
			return strings.Contains(e.log.String(), fmt.Sprintf(`"msg":"request_not_read","node":"entry-1","reason":%q`, reason))
		})
		if n := e.scope.Snapshot().Counters()["gateway."+counter+"+"]; n == nil || n.Value() != 1 {
			t.Errorf("counter %s: %+v, want 1", counter, n)
		}
	}
}
