package side

import (
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/buckthornroute/buckthornroute/internal/scenario"
)

// A gate that opens too early sends calls to a VM that is about to leave; one that stays
// closed leaves the upstream unused. The scripts in testdata/gate.txt cover each
// reason for closing it.
func TestGate(t *testing.T) {
	var now time.Time
	var gate *Gate
	datadriven.RunTest(t, "testdata/gate.txt", func(t *testing.T, d *datadriven.TestData) string {
		args := scenario.NewArgs(t, d)
		switch d.Cmd {
		case "start":
			now = time.Unix(0, 0)
			gate = NewGate(now, args.Duration("silence", 0))
		case "advance":
			now = now.Add(args.Duration("by", 0))
		case "contact":
			gate.RecordContact(now)
		case "drain", "undrain":
			if err := gate.ApplyOrder(uint64(args.Int("version", 0)), d.Cmd == "drain"); err != nil {
				return err.Error()
			}
		case "leaving":
			gate.MarkLeaving()
		case "stop":
			gate.MarkStopping()
		default:
			d.Fatalf(t, "unknown verb %q", d.Cmd)
		}
		if reason := gate.ClosedReason(now); reason != "" {
			return "closed: " + reason
		}
		return "open"
	})
}
