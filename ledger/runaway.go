package ledger

import "time"

// RunawayDetector recognises a runaway program by the rate of its turns: it sends many
// turns at the same moment, for example because it starts sub-agents in a loop. Other
// programs have one turn under way, or one for each of a few sub-agents. The zero value
// is ready to use.
//
// A runaway program must not get many provisional grants while the table is unreachable,
// because those grants are lost if the entries that know of them fail.
type RunawayDetector struct {
	recent  [burstTurns]time.Time
	next    int
	runaway bool
}

const (
	// burstTurns is the number of turns within burstWindow that marks a runaway program;
	// other programs send up to 4 turns at once.
	burstTurns  = 6
	burstWindow = 150 * time.Millisecond
	// BurstDelay is how long a turn waits before the program is granted more than one turn
	// provisionally. The turns of a burst arrive within about 20 ms, so by then the detector
	// has seen whether the turn is the first of a burst.
	BurstDelay = 40 * time.Millisecond
)

// Observe records that a turn requested tokens.
func (d *RunawayDetector) Observe(now time.Time) {
	oldest := d.recent[d.next]
	d.recent[d.next] = now
	d.next = (d.next + 1) % burstTurns
	if !oldest.IsZero() && now.Sub(oldest) <= burstWindow {
		d.runaway = true
	}
}

// Runaway reports whether the program has sent a burst of turns. Once set it stays set.
func (d *RunawayDetector) Runaway() bool { return d.runaway }
