package gateway

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	platformapi "github.com/buckthornroute/buckthornroute/internal/platform"
)

const (
	// settledPrefix is the prefix of the rows that hold the only version of a service. There is none for a
	// service that has had several within resume.Retention.
	settledPrefix = "software//"
	// settledInterval is the time between two comparisons of these rows with the upstreams' versions.
	settledInterval = time.Second
	// settledTimeout bounds reading these rows at the start. Without them streams that began before are
	// refused.
	settledTimeout = time.Second
)

// readSettled reads which services had only one version. Entries that start after all had ended can then
// go on with the streams that those had begun.
func (o *streamOrigins) readSettled(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, settledTimeout)
	defer cancel()
	rows, _, err := o.g.table.Snapshot(ctx, settledPrefix)
	if err != nil {
		o.g.env.Requests.Warn("software_not_read").Err(err).End()
		return
	}
	settled := make(map[string]string, len(rows))
	for _, r := range rows {
		settled[r.Key[len(settledPrefix):]] = string(r.Value)
	}
	o.mu.Lock()
	o.settled = settled
	o.mu.Unlock()
}

// recordSettled keeps the rows of the only versions up to date until ctx ends. One entry writes the row of
// a service: the one that would own the budget of a program of that name.
func (o *streamOrigins) recordSettled(ctx context.Context) {
	recorded := map[string]string{}
	for ; ctx.Err() == nil; sleep(ctx, settledInterval) {
		t := o.g.routes.Load()
		if t == nil || time.Since(o.rowsConfirmed()) > maxRegistryAge {
			continue
		}
		for service := range t.Document().Services {
			if !o.g.mesh.CanOwn() || o.g.mesh.Owner(service) != nil {
				delete(recorded, service)
				continue
			}
			if err := o.recordService(ctx, service, recorded); err != nil {
				o.g.env.Requests.Info("software_not_recorded").Str("service", service).Err(err).End()
			}
		}
	}
}

// recordService writes the row of one service unless recorded, what this entry knows of the rows, is up
// to date.
func (o *streamOrigins) recordService(ctx context.Context, service string, recorded map[string]string) error {
	ctx, cancel := context.WithTimeout(ctx, settledTimeout)
	defer cancel()
	key := settledPrefix + service
	if _, known := recorded[service]; !known {
		row, err := o.g.table.Get(ctx, key)
		if err != nil && !errors.Is(err, platformapi.ErrNotFound) {
			return err
		}
		recorded[service] = string(row.Value)
	}
	version := o.onlyVersion(time.Now(), service)
	if version == recorded[service] {
		return nil
	}
	before := recorded[service]
	delete(recorded, service) // the write may take effect even if it fails
	if err := o.g.commits.apply(ctx, nil, []platformapi.Write{{Key: key, Value: []byte(version), Delete: version == ""}}); err != nil {
		return err
	}
	recorded[service] = version
	o.g.env.Requests.Warn("software_recorded").Str("service", service).Str("only", version).Str("before", before).End()
	return nil
}

// onlyVersion returns the only version of a service; empty if there were several.
func (o *streamOrigins) onlyVersion(now time.Time, service string) string {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.versions == nil {
		return ""
	}
	version, _ := o.versions.Only(now, service)
	return version
}
