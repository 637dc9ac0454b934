package gateway

import (
	"fmt"
	"net/http"
	"regexp"
	"strings"
	"testing"
	"time"
)

// streamEvents is the number of events of the whole stream of these tests.
const streamEvents = 5

// eventTexts returns the events first to last, counted from 0.
func eventTexts(first, last int) []string {
	var list []string
	for i := first; i <= last; i++ {
		list = append(list, fmt.Sprintf("id: %d\ndata: event-%d\n\n", i, i))
	}
	return list
}

// wholeStream is the body of the whole stream.
func wholeStream() string { return strings.Join(eventTexts(0, streamEvents-1), "") }

// restOf returns the first event that a request asks for.
func restOf(r *http.Request) int {
	first := 0
	if last := r.Header.Get("Last-Event-Id"); last != "" {
		_, _ = fmt.Sscan(last, &first)
		first++
	}
	return first
}

// checkStream fails the test unless the caller got whole events of the stream in order and, if the answer looks
// complete, all of them.
func checkStream(t *testing.T, what string, r reply) {
	t.Helper()
	if r.status != http.StatusOK {
		if r.status == 0 && r.err == nil || r.status != 0 && r.status < 500 {
			t.Errorf("%s: status %d, error %v", what, r.status, r.err)
		}
		return
	}
	if !strings.HasPrefix(wholeStream(), r.body) || strings.Count(r.body, "\n\n") != strings.Count(r.body, "id:") {
		t.Errorf("%s: the caller got %q, which is not a number of whole events from the start", what, r.body)
	}
	if r.err == nil && r.body != wholeStream() {
		t.Errorf("%s: an answer that looks complete has %q only", what, r.body)
	}
}

// TestStreamBrokenOffAtEachByte breaks the answer of the first upstream off after each of its bytes. The rest comes
// from another upstream, so that the caller gets all events, wherever it broke.
func TestStreamBrokenOffAtEachByte(t *testing.T) {
	for _, f := range []framing{byLength, byChunks, byClose} {
		for _, end := range []rawEnd{closeConn, resetConn} {
			t.Run(fmt.Sprintf("framed by %s, %s", f, end), func(t *testing.T) {
				e, _ := startEntryWithRaw(t, 2, 3, func(r *http.Request, sent int) rawAnswer {
					id := r.Header.Get("X-Request-Id")
					first := restOf(r)
					if sent > 0 {
						return rawAnswer{bytes: encodeRaw(byChunks, 200, id, streamHeader, eventTexts(first, streamEvents-1)...)}
					}
					var cut int
					_, _ = fmt.Sscanf(r.URL.Path, "/ask/%d", &cut)
					return rawAnswer{encodeRaw(f, 200, "0000", streamHeader, eventTexts(0, streamEvents-1)...)[:cut], end}.withID(id)
				})
				whole := encodeRaw(f, 200, "0000", streamHeader, eventTexts(0, streamEvents-1)...)
				length, lastEventEnd := len(whole), strings.LastIndex(whole, "\n\n")+2
				if f == byChunks {
					lastEventEnd = strings.LastIndex(whole, "\n\n\r\n") + 2
				}
				headEnd := strings.Index(encodeRaw(f, 200, "0000", streamHeader), "\r\n\r\n") + 4
				eachParallel(length, func(cut int) {
					r := e.call("POST", fmt.Sprintf("/ask/%d", cut), fmt.Sprint("x", f, end, cut), map[string]string{"X-Request-Id": fmt.Sprintf("%04d", cut)})
					what := fmt.Sprintf("broken off after byte %d", cut)
					if f == byClose && end == closeConn && cut >= headEnd && r.status == http.StatusOK && r.err == nil {
						// The end of the connection is the end of such an answer.
						if r.body == "" || !strings.HasPrefix(wholeStream(), r.body) {
							t.Errorf("%s: %+v", what, r)
						}
						return
					}
					checkStream(t, what, r)
					// After the last event nothing is left to ask for, and an empty rest proves no end.
					if r.body != wholeStream() || r.err != nil && cut < lastEventEnd {
						t.Errorf("%s: the stream did not go on: %+v", what, r)
					}
				})
			})
		}
	}
}

// takeUpAnswers are answers of an upstream that is asked for the rest of a stream and does not have it.
func takeUpAnswers(id string, next int) map[string]rawAnswer {
	answers := map[string]rawAnswer{}
	for _, f := range []framing{byLength, byChunks, byClose} {
		end := keepOpen
		if f == byClose {
			end = closeConn
		}
		for _, status := range []int{400, 403, 404, 409, 410, 421, 429, 500, 502, 503, 504} {
			for kind, header := range map[string]string{"sealed": plainHeader, "without a seal": "", "of events": streamHeader} {
				body := "error-text"
				if kind == "of events" {
					body = "id: " + fmt.Sprint(next) + "\ndata: error-text\n\n"
				}
				answers[fmt.Sprintf("%d %s by %s", status, kind, f)] = rawAnswer{encodeRaw(f, status, id, header, body), end}
			}
		}
		answers["200 of another type by "+string(f)] = rawAnswer{encodeRaw(f, 200, id, plainHeader, "error-text"), end}
		answers["empty 200 by "+string(f)] = rawAnswer{encodeRaw(f, 200, id, streamHeader), end}
		answers["comment by "+string(f)] = rawAnswer{encodeRaw(f, 200, id, streamHeader, ": error-text\n\n"), end}
		answers["204 by "+string(f)] = rawAnswer{encodeRaw(f, 204, id, streamHeader), closeConn}
		answers["206 by "+string(f)] = rawAnswer{encodeRaw(f, 206, id, streamHeader, fmt.Sprintf("id: %d\ndata: error-text\n\n", next)), end}
		answers["earlier event by "+string(f)] = rawAnswer{encodeRaw(f, 200, id, streamHeader, eventTexts(next-1, streamEvents-1)...), end}
		answers["later event by "+string(f)] = rawAnswer{encodeRaw(f, 200, id, streamHeader, eventTexts(next+1, streamEvents)...), end}
		answers["event without id by "+string(f)] = rawAnswer{encodeRaw(f, 200, id, streamHeader, "data: error-text\n\n"), end}
		answers["event text alone by "+string(f)] = rawAnswer{encodeRaw(f, 200, id, streamHeader, "event: error\n\n"), end}
		answers["unsealed events by "+string(f)] = rawAnswer{encodeRaw(f, 200, id, "Content-Type: text/event-stream\r\n", eventTexts(next, streamEvents-1)...), end}
	}
	whole := encodeRaw(byLength, 500, id, plainHeader, "error-text")
	answers["error that breaks off in its body"] = rawAnswer{whole[:len(whole)-4], closeConn}
	answers["error that breaks off in its head"] = rawAnswer{whole[:20], closeConn}
	answers["error that is reset"] = rawAnswer{whole[:len(whole)-4], resetConn}
	answers["head of 60 KB"] = rawAnswer{encodeRaw(byLength, 500, id, plainHeader+"X-Long: "+strings.Repeat("e", 60<<10)+"\r\n", "error-text"), keepOpen}
	answers["head beyond the limit"] = rawAnswer{encodeRaw(byLength, 500, id, plainHeader+"X-Long: "+strings.Repeat("e", 80<<10)+"\r\n", "error-text"), keepOpen}
	answers["trailers"] = rawAnswer{"HTTP/1.1 500 X\r\nX-Request-Id: " + id + "\r\n" + plainHeader + "Trailer: X-Error\r\nTransfer-Encoding: chunked\r\n\r\na\r\nerror-text\r\n0\r\nX-Error: error-text\r\n\r\n", keepOpen}
	answers["informational answer before"] = rawAnswer{"HTTP/1.1 103 Early Hints\r\nX-Error: error-text\r\n\r\n" + whole, keepOpen}
	answers["informational answer alone"] = rawAnswer{"HTTP/1.1 100 Continue\r\n\r\n", closeConn}
	answers["text without a head"] = rawAnswer{"error-text\r\n\r\n", closeConn}
	answers["events without a head"] = rawAnswer{strings.Join(eventTexts(next, streamEvents-1), ""), closeConn}
	answers["nothing"] = rawAnswer{"", closeConn}
	answers["reset"] = rawAnswer{"", resetConn}
	answers["HTTP/1.0 with chunks"] = rawAnswer{strings.Replace(encodeRaw(byChunks, 200, id, streamHeader, eventTexts(next, streamEvents-1)...), "HTTP/1.1", "HTTP/1.0", 1), closeConn}
	return answers
}

// TestRestOfStreamIsMissing breaks a stream off after some events; the next upstream answers with an error in many
// forms. With a third send the stream goes on, and without one it is visibly broken off. No byte of the
// error reaches the caller.
func TestRestOfStreamIsMissing(t *testing.T) {
	for _, attempts := range []int{2, 3} {
		for _, inEvent := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d sends, broken off inside an event %v", attempts, inEvent), func(t *testing.T) {
				var names []string
				for name := range takeUpAnswers("", 2) {
					names = append(names, name)
				}
				e, _ := startEntryWithRaw(t, attempts, 4, func(r *http.Request, sent int) rawAnswer {
					id := r.Header.Get("X-Request-Id")
					var kind, events int
					_, _ = fmt.Sscanf(r.URL.Path, "/ask/%d-%d", &kind, &events)
					switch sent {
					case 0:
						begun := encodeRaw(byChunks, 200, id, streamHeader, eventTexts(0, events-1)...)
						begun = strings.TrimSuffix(begun, "0\r\n\r\n")
						if inEvent {
							begun += "40\r\nid: 9"
						}
						return rawAnswer{begun, closeConn}
					case 1:
						return takeUpAnswers(id, events)[names[kind]]
					default:
						return rawAnswer{bytes: encodeRaw(byLength, 200, id, streamHeader, eventTexts(restOf(r), streamEvents-1)...)}
					}
				})
				eachParallel(len(names)*(streamEvents-1), func(i int) {
					kind, events := i/(streamEvents-1), 1+i%(streamEvents-1)
					r := e.call("POST", fmt.Sprintf("/ask/%d-%d", kind, events), fmt.Sprint("y", i, attempts, inEvent), nil)
					what := fmt.Sprintf("%d events, then %s", events, names[kind])
					if r.status != http.StatusOK && firstSendWasSilent(e, r) {
						t.Logf("%s: the first upstream did not answer within the silence limit", what)
						return
					}
					checkStream(t, what, r)
					if !strings.HasPrefix(r.body, strings.Join(eventTexts(0, events-1), "")) {
						t.Errorf("%s: events were withheld: %+v", what, r)
					}
					// Refusals say that they have not run, yet each of them is a send.
					if attempts == 3 && r.body != wholeStream() {
						t.Errorf("%s: the stream did not go on at a third upstream: %+v", what, r)
					}
				})
			})
		}
	}
}

// TestTakenUpRestIsMissing is TestRestOfStreamIsMissing for a caller that takes a stream up with a request of its
// own: it may get an error with its status, but never its text as part of the stream, or an end that looks whole.
func TestTakenUpRestIsMissing(t *testing.T) {
	var names []string
	for name := range takeUpAnswers("", 2) {
		names = append(names, name)
	}
	e, _ := startEntryWithRaw(t, 2, 4, func(r *http.Request, _ int) rawAnswer {
		id := r.Header.Get("X-Request-Id")
		var kind int
		if n, _ := fmt.Sscanf(r.URL.Path, "/ask/%d", &kind); n == 0 || restOf(r) == 0 {
			return rawAnswer{strings.TrimSuffix(encodeRaw(byChunks, 200, id, streamHeader, eventTexts(0, 1)...), "0\r\n\r\n"), closeConn}
		}
		return takeUpAnswers(id, 2)[names[kind]]
	})
	eachParallel(len(names), func(kind int) {
		begun := newID()
		e.call("POST", fmt.Sprintf("/ask/%d", kind), fmt.Sprint("z", kind), map[string]string{"X-Request-Id": begun})
		r := e.call("POST", fmt.Sprintf("/ask/%d", kind), fmt.Sprint("z", kind), map[string]string{"Last-Event-Id": "1", "Resumes": begun})
		if r.err == nil && r.status < 300 {
			t.Errorf("%s: looks like the rest of the stream: %+v", names[kind], r)
		}
		if r.status >= 400 && r.status < 500 && !strings.HasPrefix(names[kind], fmt.Sprint(r.status)) {
			t.Errorf("%s: status %d is not the upstream's", names[kind], r.status)
		}
	})
}

// TestStreamWithoutIDsIsNotRepeated: a stream without ids of events breaks off. No other upstream can be told where
// to go on, so the caller must not get the events once more.
func TestStreamWithoutIDsIsNotRepeated(t *testing.T) {
	e, _ := startEntryWithRaw(t, 3, 3, func(r *http.Request, _ int) rawAnswer {
		whole := encodeRaw(byChunks, 200, r.Header.Get("X-Request-Id"), streamHeader, "data: a\n\n", "data: b\n\n")
		return rawAnswer{strings.TrimSuffix(whole, "0\r\n\r\n"), closeConn}
	})
	if r := e.call("POST", "/ask/1", "x", nil); r.err == nil || r.body != "data: a\n\ndata: b\n\n" {
		t.Errorf("%+v, want both events once and an end that is no proper one", r)
	}
}

// TestStreamBreaksAgain: each upstream sends one event and breaks off. After the third such upstream the content of
// the call counts as the cause, and the stream ends visibly.
func TestStreamBreaksAgain(t *testing.T) {
	for _, breaks := range []int{2, 3} {
		e, _ := startEntryWithRaw(t, 5, 6, func(r *http.Request, sent int) rawAnswer {
			id, first := r.Header.Get("X-Request-Id"), restOf(r)
			if sent < breaks {
				return rawAnswer{strings.TrimSuffix(encodeRaw(byChunks, 200, id, streamHeader, eventTexts(first, first)...), "0\r\n\r\n"), resetConn}
			}
			return rawAnswer{bytes: encodeRaw(byLength, 200, id, streamHeader, eventTexts(first, streamEvents-1)...)}
		})
		r := e.call("POST", "/ask/1", "x", nil)
		checkStream(t, fmt.Sprint(breaks, " breaks"), r)
		if (r.err == nil) != (breaks == 2) || !strings.HasPrefix(r.body, strings.Join(eventTexts(0, breaks-1), "")) {
			t.Errorf("%d breaks: %+v", breaks, r)
		}
	}
}

// TestRestStallsBeforeItsFirstByte: the upstream that is asked for the rest of a stream says nothing.
func TestRestStallsBeforeItsFirstByte(t *testing.T) {
	e, _ := startEntryWithRaw(t, 3, 4, func(r *http.Request, sent int) rawAnswer {
		id := r.Header.Get("X-Request-Id")
		switch sent {
		case 0:
			return rawAnswer{strings.TrimSuffix(encodeRaw(byChunks, 200, id, streamHeader, eventTexts(0, 1)...), "0\r\n\r\n"), closeConn}
		case 1:
			return rawAnswer{"", stall}
		default:
			return rawAnswer{bytes: encodeRaw(byLength, 200, id, streamHeader, eventTexts(restOf(r), streamEvents-1)...)}
		}
	})
	if r := e.call("POST", "/ask/1", "x", nil); r.err != nil || r.body != wholeStream() {
		t.Errorf("the stream did not go on: %+v", r)
	}
}

// TestCommentsPassThrough: comment lines between events are passed on, and are no progress of a stream.
func TestCommentsPassThrough(t *testing.T) {
	e, _ := startEntryWithRaw(t, 2, 2, func(r *http.Request, _ int) rawAnswer {
		parts := append([]string{": before\n\n"}, eventTexts(0, streamEvents-1)...)
		parts = append(parts[:3:3], append([]string{": between\n\n"}, parts[3:]...)...)
		return rawAnswer{bytes: encodeRaw(byChunks, 200, r.Header.Get("X-Request-Id"), streamHeader, parts...)}
	})
	r := e.call("POST", "/ask/1", "x", nil)
	if r.err != nil || strings.Replace(r.body, ": between\n\n", "", 1) != wholeStream() || !strings.Contains(r.body, ": between") {
		t.Errorf("%+v, want all events and the comment between them", r)
	}
}

// firstSendWasSilent reports whether the log shows that the first send of a call was given up before any byte of an answer had
// come. The answer that is meant to follow events is then the first one, and not the rest of a stream.
func firstSendWasSilent(e *testEntry, r reply) bool {
	line := regexp.MustCompile(`"msg":"send_unanswered"[^\n]*"request":"` + regexp.QuoteMeta(r.header.Get("X-Request-Id")) + `"[^\n]*"end":"silent","events":0`)
	for end := time.Now().Add(time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) { // lines are written in the background
		if line.MatchString(e.log.String()) {
			return true
		}
	}
	return false
}
