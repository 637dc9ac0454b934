package entry

import (
	"context"
	"time"

	"github.com/buckthornroute/buckthornroute/internal/committer"
	"github.com/buckthornroute/buckthornroute/membership"
)

// Limits and intervals of the platform reads that a few entries do on behalf of all.
const (
	// platformReaders is the number of entries that read the VM list at every interval.
	// The others read it at every 30th interval (fallbackReadEvery), in case all readers are gone.
	platformReaders   = 3
	fallbackReadEvery = 30
	// logScanInterval is the time between two scans for open logs whose owners died while
	// no other entry observed it.
	logScanInterval = 30 * time.Second
	// firstLogScanDelay is the wait before the first scan, so that heartbeats of the
	// members arrive first.
	firstLogScanDelay = 2 * time.Second
)

// pollVMList reads the platform's VM list and passes it to the membership until ctx ends.
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

// isReader reports whether this entry is one of those that read the platform on behalf of
// all: the first platformReaders by node name.
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

// readVMList passes the VM list, or that the platform did not answer, to the membership.
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

// scanOpenLogs passes the owners of open logs to the membership until ctx ends.
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
			p.notify(ctx, membership.LogsListed{Members: logOwners(logs)})
		}
	}
}

// logOwners returns the owners of the logs as members.
func logOwners(logs []committer.OpenLog) []membership.Member {
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
