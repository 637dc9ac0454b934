package gateway

import (
	"strings"
	"testing"
)

// TestEmptyDataLinesAreKept: an event has several data lines and begins with an empty one. It was kept without that line feed, so that the next turn's
// body was another than what the caller had received.
func TestEmptyDataLinesAreKept(t *testing.T) {
	for lines, want := range map[string]string{
		"data: a": "a", "data: a\ndata: b": "a\nb", "data:": "", "data:\ndata: b": "\nb", "data\ndata:\ndata: c": "\n\nc",
		"data: a\ndata:": "a\n", "data:\ndata:": "\n", "data: a\ndata:\ndata: c": "a\n\nc",
	} {
		r := newEventReader(strings.NewReader("id: 1\n"+lines+"\n\n"), nil)
		e, err := r.next()
		if err != nil || e == nil || string(e.data) != want {
			t.Errorf("%q: event %+v, error %v, want data %q", lines, e, err, want)
		}
		r.close()
	}
}
