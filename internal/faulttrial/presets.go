package faulttrial

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/buckthornroute/buckthornroute/internal/httpapi"
	"github.com/buckthornroute/buckthornroute/internal/query"
	"github.com/buckthornroute/buckthornroute/structs"
	"github.com/cockroachdb/errors"
)

const (
	// switchRounds is the number of rounds in which two operators switch at the same time.
	switchRounds = 8
	// presetLimit bounds the wait until a switch is in force everywhere.
	presetLimit = 10 * time.Second
)

// postAsOperator sends a POST request with an operator's token to the next entry.
func (t *scenarioRun) postAsOperator(ctx context.Context, token, path string, body, out any) error {
	return t.load.caller.exchange(ctx, request{
		entry: t.load.caller.pick(), method: http.MethodPost, path: path, token: token, body: body,
	}, out)
}

// operators races two switches switchRounds times.
func operators(ctx context.Context, t *scenarioRun) error {
	var took []time.Duration
	for range switchRounds {
		d, err := t.raceSwitch(ctx)
		if err != nil {
			return err
		}
		took = append(took, d)
	}
	t.result.PresetSeconds = seconds(took)
	return nil
}

// raceSwitch lets two operators switch from the same version at the same time. At least
// one switch must be accepted, and the accepted one with the highest version must then be
// in force everywhere. raceSwitch returns the time that this took after both answers.
func (t *scenarioRun) raceSwitch(ctx context.Context) (time.Duration, error) {
	current, err := t.load.caller.inForce(ctx, t.load.caller.pick())
	if err != nil {
		return 0, errors.Wrap(err, "preset in force")
	}
	var mu sync.Mutex
	var won []structs.PresetInForce
	var refusals []error
	var racing sync.WaitGroup
	for token, name := range map[string]string{operatorOneToken: presetFirst, operatorTwoToken: presetSecond} {
		racing.Go(func() {
			var inForce structs.PresetInForce
			err := t.postAsOperator(ctx, token, "/operator/presets/"+name+"/switch",
				httpapi.SwitchRequest{ExpectedVersion: current.Version}, &inForce)
			mu.Lock()
			defer mu.Unlock()
			if err == nil {
				won = append(won, inForce)
			} else {
				refusals = append(refusals, err)
			}
		})
	}
	racing.Wait()
	accepted := time.Now()
	if len(won) == 0 {
		return 0, errors.Newf("neither operator's switch was accepted: %v", refusals)
	}
	winner := slices.MaxFunc(won, func(a, b structs.PresetInForce) int { return int(a.Version) - int(b.Version) })
	if len(won) > 1 && won[0].Version == won[1].Version {
		return 0, errors.Newf("two accepted switches have the same version %d", winner.Version)
	}
	return t.awaitPreset(ctx, winner, accepted)
}

// awaitPreset waits until the version is in force at every entry and at every ready node
// that an entry lists.
func (t *scenarioRun) awaitPreset(ctx context.Context, want structs.PresetInForce, accepted time.Time) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, presetLimit)
	defer cancel()
	for ctx.Err() == nil {
		if t.inForceEverywhere(ctx, want) {
			return time.Since(accepted), nil
		}
		sleep(ctx, pollInterval)
	}
	return 0, errors.Newf("preset version %d is not in force everywhere after %v", want.Version, presetLimit)
}

// inForceEverywhere reports whether the preset is in force at every entry and every ready
// node. A higher version counts too. A node that lists version 0 reports none and is skipped.
func (t *scenarioRun) inForceEverywhere(ctx context.Context, want structs.PresetInForce) bool {
	for _, entry := range t.load.caller.entries {
		inForce, err := t.load.caller.inForce(ctx, entry)
		if err != nil || inForce.Version < want.Version {
			return false
		}
		if inForce.Version == want.Version && inForce.Preset.Name != want.Preset.Name {
			return false
		}
		var nodes []query.Node
		if t.load.caller.get(ctx, entry, "/operator/nodes", &nodes) != nil {
			return false
		}
		for _, n := range nodes {
			if n.Ready && n.PresetVersion > 0 && n.PresetVersion < want.Version {
				return false
			}
		}
	}
	return true
}

// get sends a GET request with an operator's token and decodes the answer into out.
func (c *caller) get(ctx context.Context, entry, path string, out any) error {
	return c.exchange(ctx, request{entry: entry, method: http.MethodGet, path: path, token: operatorOneToken}, out)
}

// inForce returns the preset that is in force at an entry.
func (c *caller) inForce(ctx context.Context, entry string) (structs.PresetInForce, error) {
	var inForce structs.PresetInForce
	err := c.get(ctx, entry, "/operator/preset", &inForce)
	return inForce, err
}

// watchInterval is the interval between two polls of the presets.
const watchInterval = 100 * time.Millisecond

// watchPresets counts, until ctx ends, how often an entry reports a lower preset version
// than it did before. The channel is closed at the end.
func watchPresets(ctx context.Context, l *load) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		seen := make(map[string]uint64)
		for ctx.Err() == nil {
			for _, entry := range l.caller.entries {
				inForce, err := l.caller.inForce(ctx, entry)
				if err != nil || inForce.Version == 0 {
					continue // a process that has just started has no preset yet and accepts no work
				}
				if inForce.Version < seen[entry] {
					l.count(func(c *Counts) { c.PresetReverts++ })
				}
				seen[entry] = inForce.Version
			}
			sleep(ctx, watchInterval)
		}
	}()
	return done
}
