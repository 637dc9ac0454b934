// Package embedded runs programs with the decision packages alone, in one process
// and straight against model engine stand-ins: no entry, side or journal. It shows
// how the packages are embedded, and lets policies be compared at a faster time
// scale than the daemons' streams allow.
package embedded

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/buckthornroute/buckthornroute/internal/standin"
	"github.com/buckthornroute/buckthornroute/internal/workload"
	"github.com/buckthornroute/buckthornroute/structs"
)

// Config sets up a System.
type Config struct {
	Deployment workload.Deployment
	Preset     structs.Preset
	// TimeScale is the real time of one modelled second.
	TimeScale float64
	// Entries is the number of entries, each of which knows its own sends alone.
	Entries int
	Seed    uint64
}

// System is a workload.System.
type System struct {
	cfg     Config
	gates   []*gate
	byID    map[structs.UpstreamID]*gate
	entries []*entry
	ledger  *workload.Ledger
	opened  atomic.Uint64
	stop    chan struct{}
	duties  sync.WaitGroup

	mu       sync.Mutex
	programs map[structs.ProgramID]*program
}

var _ workload.System = (*System)(nil)

// New starts the engines and the entries; Stop ends them.
func New(cfg Config) (*System, error) {
	s := &System{
		cfg:      cfg,
		ledger:   workload.NewLedger(),
		byID:     make(map[structs.UpstreamID]*gate),
		programs: make(map[structs.ProgramID]*program),
		stop:     make(chan struct{}),
	}
	for i := range cfg.Entries {
		e, err := newEntry(s, i)
		if err != nil {
			return nil, err
		}
		s.entries = append(s.entries, e)
	}
	for _, c := range workload.StandIns(cfg.Deployment, cfg.TimeScale, s.ledger).Models {
		c.TimeScale = cfg.TimeScale
		g := newGate(structs.UpstreamID(c.Name), standin.NewModel(c), cfg)
		s.gates = append(s.gates, g)
		s.byID[g.id] = g
	}
	for _, g := range s.gates {
		s.duties.Go(func() { s.follow(g) })
	}
	return s, nil
}

// Stop ends the engines and all duties.
func (s *System) Stop() {
	close(s.stop)
	for _, g := range s.gates {
		g.model.Close()
	}
	s.duties.Wait()
}

// Cache returns what the run found cached.
func (s *System) Cache() workload.CacheCounts { return s.ledger.Sum() }

// Kill ends an engine for good.
func (s *System) Kill(i int) { s.gates[i].kill() }

// Faults returns the faults of an engine.
func (s *System) Faults(i int) *standin.Faults { return s.gates[i].model.Faults }

// Open implements workload.System.
func (s *System) Open(_ context.Context, spec structs.ProgramSpec) (structs.ProgramID, error) {
	id := s.newID()
	p := newProgram(id, spec, s.entries[s.opened.Load()%uint64(len(s.entries))])
	s.mu.Lock()
	defer s.mu.Unlock()
	s.programs[id] = p
	return id, nil
}

// newID returns the id of a further program or sub-agent.
func (s *System) newID() structs.ProgramID { return structs.NewProgramID("log", s.opened.Add(1)) }

// Turn implements workload.System.
func (s *System) Turn(ctx context.Context, ref workload.ProgramRef, number uint32, _, content string, first func()) error {
	s.mu.Lock()
	p := s.programs[ref.ID]
	s.mu.Unlock()
	return p.run(ctx, number, content, first)
}

// Close implements workload.System.
func (s *System) Close(_ context.Context, ref workload.ProgramRef) error {
	s.mu.Lock()
	p := s.programs[ref.ID]
	delete(s.programs, ref.ID)
	s.mu.Unlock()
	p.release()
	return nil
}

// real turns modelled time into real time.
func (s *System) real(d time.Duration) time.Duration {
	return time.Duration(float64(d) * s.cfg.TimeScale)
}

// followInterval is the modelled time between two looks at an engine's load and events.
const followInterval = 250 * time.Millisecond

// follow hands an engine's load reports and cache events to every entry.
func (s *System) follow(g *gate) {
	ticker := time.NewTicker(s.real(followInterval))
	defer ticker.Stop()
	for {
		g.follow(s.entries)
		select {
		case <-ticker.C:
		case <-s.stop:
			return
		}
	}
}
