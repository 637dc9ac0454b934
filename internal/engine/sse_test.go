package engine

import (
	"bytes"
	"io"
	"strings"
	"testing"

	"github.com/buckthornroute/buckthornroute/structs"
	"github.com/cockroachdb/errors"
)

// readEvents returns the data of all events of a stream, each followed by "|", and then the
// text of the error that ended it.
func readEvents(text string) string {
	reader := NewEventReader(strings.NewReader(text))
	var out strings.Builder
	for {
		data, err := reader.Next()
		if err != nil {
			return out.String() + err.Error()
		}
		out.Write(data)
		out.WriteString("|")
	}
}

// TestEventReader guards against events that are lost, merged or returned in part: it covers
// line endings, other fields, events cut off by the end of the stream, and the size limit.
func TestEventReader(t *testing.T) {
	for text, want := range map[string]string{
		"":                                   "EOF",
		"data: a\n\ndata:b\r\n\r\n":          "a|b|EOF",
		"event: x\nid: 1\ndata: a\n\n":       "a|EOF",
		": comment\n\n\n\ndata: a\n\n":       "a|EOF",
		"data: a\ndata: b\n\n":               "a\nb|EOF",
		"data: a\n\ndata: cut":               "a|EOF",
		"data: a\n\ndata: cut\n":             "a|EOF",
		"data\n\n":                           "|EOF",
		strings.Repeat("x", maxEventBytes+1): ErrEventTooLong.Error(),
		strings.Repeat("data: "+strings.Repeat("x", 4000)+"\n", maxEventBytes/4000+1): ErrEventTooLong.Error(),
	} {
		if got := readEvents(text); got != want {
			t.Errorf("events of %.40q = %.80q, want %.80q", text, got, want)
		}
	}
}

// FuzzEventReader checks that reading any bytes ends with io.EOF, and that an event encoded as
// the engines do is returned unchanged whatever precedes it.
func FuzzEventReader(f *testing.F) {
	f.Add([]byte("data: {\"a\":1}\n\ndata: [DONE]\n\n"), []byte("x"))
	f.Add([]byte(":\r\n\r\ndata\n"), []byte(""))
	f.Fuzz(func(t *testing.T, stream, payload []byte) {
		if bytes.ContainsAny(payload, "\r\n") {
			return
		}
		text := bytes.Join([][]byte{stream, []byte("\n\ndata: "), payload, []byte("\n\n")}, nil)
		reader := NewEventReader(bytes.NewReader(text))
		var last []byte
		for {
			data, err := reader.Next()
			if err != nil {
				if !errors.Is(err, io.EOF) {
					t.Fatalf("Next() error = %v, want io.EOF", err)
				}
				break
			}
			last = data
		}
		if !bytes.Equal(last, payload) {
			t.Fatalf("last event %q, want %q", last, payload)
		}
	})
}

// FuzzDecodeChunk checks that no chunk makes the answer reader panic or change the text that
// it has already received.
func FuzzDecodeChunk(f *testing.F) {
	f.Add([]byte(`{"call_id":"c","attempt":1,"offset":0,"choices":[{"delta":{"content":"abc"}}]}`))
	f.Add([]byte(`{"call_id":"c","attempt":1,"offset":-4,"choices":[{"delta":{"content":"a"}}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		chunk, err := decodeChunk(data)
		if err != nil {
			return
		}
		chunk.CallID, chunk.Attempt = "c", 1
		a := newAnswerReader(client{}, modelCall("c", 1), "begin", nil)
		_ = a.add(t.Context(), chunk)
		if !strings.HasPrefix(a.text.String(), "begin") {
			t.Fatalf("text %q does not start with the text of the earlier attempt", a.text.String())
		}
	})
}

// modelCall returns one attempt of a call.
func modelCall(call structs.CallID, attempt uint32) structs.ModelCall {
	return structs.ModelCall{Call: call, Attempt: attempt}
}
