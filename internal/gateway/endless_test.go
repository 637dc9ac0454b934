package gateway

import (
	"fmt"
	"io"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"
)

// TestAnswerWithoutEndTakesBoundedMemory sends calls to upstreams whose answers have no end, several at
// once: the entry must cut them off before they take the memory of a VM, and serve other calls.
func TestAnswerWithoutEndTakesBoundedMemory(t *testing.T) {
	endless := func(header map[string]string, begin, repeat string) answerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			if strings.HasSuffix(r.URL.Path, "whole") {
				answerEvents(0, 1, false)(w, r)
				return
			}
			w.Header().Set("X-Response-Seal", "s")
			for k, v := range header {
				w.Header().Set(k, v)
			}
			_, err := io.WriteString(w, begin)
			chunk := strings.Repeat(repeat, 1+(4<<10)/len(repeat))
			for err == nil {
				_, err = io.WriteString(w, chunk)
			}
		}
	}
	stream := map[string]string{"Content-Type": "text/event-stream"}
	for _, c := range []struct {
		name, path string
		answer     answerFunc
	}{
		{"event of short lines", "/draft/1", endless(stream, "id: 0\n", "data: x\n")},
		{"event of one line", "/draft/1", endless(stream, "id: 0\ndata: ", "x")},
		{"events of a stored turn", "/draft/1", endless(stream, "", "data: "+strings.Repeat("x", 1<<10)+"\n\n")},
		{"body of an answer", "/read/1", endless(nil, "", "x")},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, e, _, _ := startEntryWithUpstreams(t, c.answer, c.answer)
			done := make(chan struct{})
			peak := watchMemory(done)
			var wg sync.WaitGroup
			for i := range 12 {
				wg.Add(1)
				go func() {
					defer wg.Done()
					if r := e.call("POST", c.path, fmt.Sprint("endless-", i), nil); r.status == http.StatusOK && r.err == nil {
						t.Errorf("an answer without end looks complete")
					}
				}()
			}
			wg.Wait()
			close(done)
			if most := <-peak; most > 60<<20 {
				t.Errorf("the heap grew by %d MiB, want less than half of a VM's memory", most>>20)
			}
			if c.path == "/draft/1" {
				if r := e.call("POST", "/draft/whole", "whole", nil); r.status != http.StatusOK {
					t.Errorf("another call: %+v", r)
				}
			}
			if used := e.answers.inUse(); used != 0 {
				t.Errorf("%d bytes are still reserved", used)
			}
		})
	}
}

// watchMemory returns by how much the heap grew at most until done is closed.
func watchMemory(done <-chan struct{}) <-chan uint64 {
	heap := func() uint64 {
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	runtime.GC()
	begin, peak := heap(), make(chan uint64, 1)
	go func() {
		most := uint64(0)
		for {
			if now := heap(); now > begin {
				most = max(most, now-begin)
			}
			select {
			case <-done:
				peak <- most
				return
			case <-time.After(5 * time.Millisecond):
			}
		}
	}()
	return peak
}
