// Package embedded runs programs in one process with only the decision packages (routing,
// admission, kvcache) and model engine stand-ins. Its own small entries and gates replace the
// daemons' entries and sides; there is no home log. It shows how to embed the packages and
// allows policies to be compared at a faster time scale than the streams of the daemons permit.
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

// Config configures a System.
type Config struct {
	Deployment workload.Deployment
	Preset     structs.Preset
	// TimeScale is the number of real seconds in one modelled second.
	TimeScale float64
	// Entries is the number of entries. Each knows only the calls that it sent itself.
	Entries int
	Seed    uint64
}

// System is a workload.System without daemons.
type System struct {
	cfg     Config
	gates   []*gate
	byID    map[structs.UpstreamID]*gate
	entries []*entry
	ledger  *workload.Ledger
	lastID  atomic.Uint64 // number of the newest program or sub-agent
	stop    chan struct{}
	workers sync.WaitGroup

	mu       sync.Mutex
	programs map[structs.ProgramID]*program
}

var _ workload.System = (*System)(nil)

// New starts the engines and the entries; Stop stops them.
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
		s.workers.Go(func() { s.sendReports(g) })
	}
	return s, nil
}

// Stop stops the engines and all workers.
func (s *System) Stop() {
	close(s.stop)
	for _, g := range s.gates {
		g.model.Close()
	}
	s.workers.Wait()
}

// Cache returns the counts of prompt, cached and recomputed tokens so far.
func (s *System) Cache() workload.CacheCounts { return s.ledger.Sum() }

// Kill crashes the i-th engine, which does not restart during a run.
func (s *System) Kill(i int) { s.gates[i].kill() }

// Faults returns the faults of the i-th engine, which may be set.
func (s *System) Faults(i int) *standin.Faults { return s.gates[i].model.Faults }

// Open implements workload.System. The newest number selects the entry, so sub-agents shift the
// rotation of the entries.
func (s *System) Open(_ context.Context, spec structs.ProgramSpec) (structs.ProgramID, error) {
	id := s.newID()
	p := newProgram(id, spec, s.entries[s.lastID.Load()%uint64(len(s.entries))])
	s.mu.Lock()
	defer s.mu.Unlock()
	s.programs[id] = p
	return id, nil
}

// newID returns the id of a new program or sub-agent.
func (s *System) newID() structs.ProgramID { return structs.NewProgramID("log", s.lastID.Add(1)) }

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

// real converts modelled time to real time.
func (s *System) real(d time.Duration) time.Duration {
	return time.Duration(float64(d) * s.cfg.TimeScale)
}

// reportInterval is the modelled interval at which an engine's load and cache events are
// read.
const reportInterval = 250 * time.Millisecond

// sendReports passes the load reports and cache events of an engine to every entry until the
// System stops.
func (s *System) sendReports(g *gate) {
	ticker := time.NewTicker(s.real(reportInterval))
	defer ticker.Stop()
	for {
		g.sendReport(s.entries)
		select {
		case <-ticker.C:
		case <-s.stop:
			return
		}
	}
}
