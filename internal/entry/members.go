package entry

import (
	"context"
	"time"

	"github.com/buckthornroute/buckthornroute/internal/committer"
	"github.com/buckthornroute/buckthornroute/membership"
)

// Times of what a few entries read from the platform for all.
const (
	// listReaders is the number of entries that read the VM list at each interval;
	// the others read it at readsApart of them, in case all the readers are gone.
	platformReaders   = 3
	fallbackReadEvery = 30
	// logsInterval is the time between two looks for logs whose holders died while
	// nobody watched.
	logScanInterval = 30 * time.Second
	// logsDelay lets the members be heard before the first look.
	firstLogScanDelay = 2 * time.Second
)

// readVMs reads the platform's VM list for the membership until ctx ends.
func (p *peers) pollVMList(ctx context.Context) error {
	ticker := time.NewTicker(p.entry.cfg.Membership.VMListInterval.Std())
	defer ticker.Stop()
	for round := 0; ; round++ {
		if p.isReader() || round%fallbackReadEvery == 0 {
			p.readVMList(ctx)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// reads reports whether this entry is one of those that read for all.
func (p *peers) isReader() bool {
	own := p.entry.cfg.Node
	before := 0
	for _, node := range p.nodes() {
		if node == own {
			break
		}
		before++
	}
	return before < platformReaders
}

func (p *peers) readVMList(ctx context.Context) {
	readContext, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	list, err := p.entry.platform.List(readContext)
	if err != nil {
		p.notify(ctx, membership.PlatformResult{Answered: false})
		return
	}
	p.notify(ctx, membership.VMsListed{VMs: list})
}

// findLogs tells the membership of the holders of open logs until ctx ends.
func (p *peers) scanOpenLogs(ctx context.Context) error {
	wait := firstLogScanDelay
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(wait):
		}
		wait = logScanInterval
		if !p.isReader() {
			continue
		}
		logs, err := p.entry.committer.OpenLogs(ctx)
		if err == nil && len(logs) > 0 {
			p.notify(ctx, membership.LogsListed{Members: holders(logs)})
		}
	}
}

func holders(logs []committer.OpenLog) []membership.Member {
	var out []membership.Member
	for _, l := range logs {
		out = append(out, membership.Member{
			Node:        l.Owner.Node,
			Log:         l.Log,
			VM:          l.Owner.VM,
			Domain:      l.Owner.Domain,
			Address:     l.Owner.Address,
			Incarnation: l.Owner.Incarnation,
		})
	}
	return out
}
