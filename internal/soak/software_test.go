package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"syscall"
	"time"
)

// softwareVersions is the number of versions of the software of model engines that serve side by side.
const softwareVersions = 2

// rowRepeat is how long after its restart an upstream writes its row again, as each does now and then: a
// write that the store applies late may have replaced the row.
const rowRepeat = 1700 * time.Millisecond

// changeSoftware replaces the software of model engines, one after the other, until end. Beside that,
// engines break streams off, so that callers take them up.
func (x *trial) changeSoftware(end time.Time) {
	rng := rand.New(rand.NewPCG(x.seed, 11))
	if x.rollsBack() {
		x.rollBack(rng)
	}
	for time.Now().Before(end) {
		pause(time.Duration(200+rng.IntN(1200)) * time.Millisecond)
		breaking := x.llm[rng.IntN(len(x.llm))]
		breaking.broken.Store(true)
		x.undoAfter(time.Duration(rng.IntN(1500))*time.Millisecond, func() { breaking.broken.Store(false) })
		u := x.llm[rng.IntN(len(x.llm))]
		version, sameID := fmt.Sprintf("v%d", 1+rng.IntN(softwareVersions)), rng.IntN(2) == 0
		down := time.Duration(20+rng.IntN(300)) * time.Millisecond
		if !u.shutDown() {
			continue
		}
		x.t.Logf("%s %s starts again with software %s, same id %v", time.Now().Format("05.000"), u.name(), version, sameID)
		x.undoAfter(down, func() {
			u.mu.Lock()
			u.version = version
			u.mu.Unlock()
			u.restart(sameID)
		})
		x.undoAfter(down+rowRepeat, u.repeatRow)
	}
}

// rollsBack reports whether all engines begin with the same software, of which a release is rolled back.
func (x *trial) rollsBack() bool { return x.seed%2 == 1 }

// named reports whether the table names the only version of the engines.
func (x *trial) named() bool {
	row, err := x.store.table.Get(context.Background(), "software//llm")
	return err == nil && strings.Contains(string(row.Value), `"named"`)
}

// rollBack releases other software on one engine soon after the table named the only version, ends all entries at
// once around that, rolls the release back while they are down, and starts them again. A stream that began at
// the other software must not go on at the first.
func (x *trial) rollBack(rng *rand.Rand) {
	u := x.llm[rng.IntN(len(x.llm))]
	x.t.Logf("%s release at %s, the only version is named: %v", time.Now().Format("05.000"), u.name(), x.named())
	x.replace(u, "v2", rng.IntN(2) == 0)
	// Engines break answers off around the end, so that callers take the streams up.
	u.broken.Store(true)
	pause(time.Duration(rng.IntN(800)) * time.Millisecond)
	x.t.Logf("%s all entries end, the only version is named: %v", time.Now().Format("05.000"), x.named())
	for _, e := range x.entries {
		e.signal(syscall.SIGKILL, true)
	}
	x.replace(u, "v1", rng.IntN(2) == 0)
	u.broken.Store(false)
	for _, e := range x.entries {
		_ = e.end(syscall.SIGKILL) // waits for its end
		e.start(x.t)
	}
	x.t.Logf("%s rolled back, all entries start again", time.Now().Format("05.000"))
}

// replace starts an engine again with other software.
func (x *trial) replace(u *upstream, version string, sameID bool) {
	for !u.shutDown() { // it has crashed and starts again soon
		pause(20 * time.Millisecond)
	}
	u.mu.Lock()
	u.version = version
	u.mu.Unlock()
	u.restart(sameID)
}

// name returns the present id of the upstream.
func (u *upstream) name() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.id
}

// shutDown ends the upstream's process. It returns false if that had ended already.
func (u *upstream) shutDown() bool {
	u.mu.Lock()
	down := u.down
	u.down = true
	u.mu.Unlock()
	if !down {
		u.link.shutDown()
	}
	return !down
}

// repeatRow writes the row of the upstream again, unless its process has ended.
func (u *upstream) repeatRow() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.down {
		u.store.put("servers//"+u.id, u.row("ready"))
	}
}
