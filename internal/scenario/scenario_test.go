package scenario

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// TestNetwork guards against a network that loses, duplicates or reorders messages other than
// as scripted, and against arguments that are parsed wrongly: tests that run scripts would
// then check something else than what is written in them.
func TestNetwork(t *testing.T) {
	s := New()
	n := NewNetwork(s, 1)
	s.Handle("submit", func(a Args) string {
		for _, message := range a.Words()[2:] {
			n.Send(a.Word(0), a.Word(1), message)
		}
		return ""
	})
	s.Handle("expect", func(Args) string {
		var out strings.Builder
		for e, ok := n.Deliver(); ok; e, ok = n.Deliver() {
			fmt.Fprintf(&out, "%s -> %s: %v\n", e.From, e.To, e.Message)
		}
		return out.String() + "in flight:\n" + n.String()
	})
	s.Handle("write", func(Args) string {
		return fmt.Sprintf("outage %v, answer lost %v", n.Outage(), n.LoseAnswer())
	})
	s.Handle("read", func(a Args) string {
		return fmt.Sprint(a.Int("n", 7), a.Float("x", 0.5), a.Duration("d", time.Second), a.Text("text", "none"), a.Has("flag"), s.Since())
	})
	s.Run(t, "testdata/network.txt")
}
