package quota

import "time"

const (
	recentSlot = 500 * time.Millisecond
	// recentSlots cover a window, the lease of tokens granted before it, and one slot of rounding.
	recentSlots = int((Window+Lease)/recentSlot) + 2
)

// recent sums what was granted within the last window.
type recent struct {
	begun time.Time
	slots [recentSlots]float64
	slot  int64
}

func (r *recent) advance(now time.Time) {
	if r.begun.IsZero() {
		r.begun = now
	}
	slot := int64(now.Sub(r.begun) / recentSlot)
	for i := 0; r.slot < slot; i++ {
		if i == recentSlots {
			r.slot = slot
			break
		}
		r.slot++
		r.slots[r.slot%int64(recentSlots)] = 0
	}
}

func (r *recent) add(now time.Time, n float64) {
	r.advance(now)
	r.slots[r.slot%int64(recentSlots)] += n
}

func (r *recent) sum(now time.Time) float64 {
	r.advance(now)
	sum := 0.0
	for _, n := range r.slots {
		sum += n
	}
	return sum
}
