package standin

import (
	"context"
	"slices"
	"sync"

	"github.com/buckthornroute/buckthornroute/internal/platform"
	"github.com/cockroachdb/errors"
)

const (
	// maxObjectBytes bounds one object, maxStoreBytes all objects together.
	maxObjectBytes = 64 << 20
	maxStoreBytes  = 2 << 30
)

// Objects is an in-memory object store. The platform's faults and rate limits apply to it.
type Objects struct {
	faults *Faults
	limits *rateLimits

	mu    sync.Mutex
	byKey map[string][]byte
	bytes int
}

var _ platform.Objects = (*Objects)(nil)

func newObjects(faults *Faults, limits *rateLimits) *Objects {
	return &Objects{faults: faults, limits: limits, byKey: make(map[string][]byte)}
}

// Len returns the number of objects.
func (o *Objects) Len() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.byKey)
}

// Put implements platform.Objects.
func (o *Objects) Put(ctx context.Context, key string, value []byte) error {
	return o.change(ctx, "put", key, value)
}

// Delete implements platform.Objects.
func (o *Objects) Delete(ctx context.Context, key string) error {
	return o.change(ctx, "delete", key, nil)
}

func (o *Objects) change(ctx context.Context, verb, key string, value []byte) error {
	subject := "/objects/" + key
	if err := checkFaults(ctx, o.faults, subject); err != nil {
		return err
	}
	if len(value) > maxObjectBytes {
		return errors.Wrapf(platform.ErrNotApplied, "object %q of %d bytes", key, len(value))
	}
	if !o.limits.write() {
		return errors.Wrap(platform.ErrNotApplied, "object write rate")
	}
	err := o.store(verb, key, value)
	if o.faults.afterEffect(ctx, subject) {
		return errors.Wrap(platform.ErrUnavailable, "answer lost")
	}
	return err
}

func (o *Objects) store(verb, key string, value []byte) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	newBytes := o.bytes - len(o.byKey[key]) + len(value)
	if newBytes > maxStoreBytes {
		return errors.Wrapf(platform.ErrNotApplied, "object store of %d bytes is full", o.bytes)
	}
	o.bytes = newBytes
	if verb == "delete" {
		delete(o.byKey, key)
		return nil
	}
	o.byKey[key] = slices.Clone(value)
	return nil
}

// Get implements platform.Objects.
func (o *Objects) Get(ctx context.Context, key string) ([]byte, error) {
	subject := "/objects/" + key
	if err := checkFaults(ctx, o.faults, subject); err != nil {
		return nil, err
	}
	if !o.limits.read() {
		return nil, errors.Wrap(platform.ErrNotApplied, "object read rate")
	}
	if o.faults.afterEffect(ctx, subject) {
		return nil, errors.Wrap(platform.ErrUnavailable, "answer lost")
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	value, exists := o.byKey[key]
	if !exists {
		return nil, errors.Wrapf(platform.ErrNotFound, "object %q", key)
	}
	return slices.Clone(value), nil
}
