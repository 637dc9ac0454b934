package ledger

import "time"

// RunawayDetector detects a runaway program, which sends bursts of turns, for example
// because it starts sub-agents in a loop. Other programs have one turn in progress at a
// time, or one for each of a few sub-agents. The zero value is ready to use.
//
// While the table is unreachable, a runaway program is granted the tokens of at most one
// turn provisionally, because provisional grants are lost if the entries that know of them
// fail.
type RunawayDetector struct {
	// recent is a ring buffer of the times of the last burstTurns turns, next the index of the
	// oldest of them.
	recent  [burstTurns]time.Time
	next    int
	runaway bool
}

const (
	// burstTurns is the number of turns after which one more turn within burstWindow of the
	// first of them marks a runaway program. Other programs send up to 4 turns at once.
	burstTurns = 6
	// burstWindow is the longest time between the first and the last turn of a burst.
	burstWindow = 150 * time.Millisecond
	// BurstDelay is how long a turn waits before a provisional grant beyond the tokens of one
	// turn. The turns of a burst arrive within about 20 ms, so that the detector has observed
	// them by then.
	BurstDelay = 40 * time.Millisecond
)

// Observe records a request for a turn at the time now.
func (d *RunawayDetector) Observe(now time.Time) {
	oldest := d.recent[d.next]
	d.recent[d.next] = now
	d.next = (d.next + 1) % burstTurns
	if !oldest.IsZero() && now.Sub(oldest) <= burstWindow {
		d.runaway = true
	}
}

// Runaway reports whether the program has sent a burst of turns. It stays true from then on.
func (d *RunawayDetector) Runaway() bool { return d.runaway }
