package entry

import (
	"context"

	"github.com/buckthornroute/buckthornroute/internal/command"
	"github.com/buckthornroute/buckthornroute/internal/eventlog"
	"github.com/buckthornroute/buckthornroute/internal/query"
	"github.com/buckthornroute/buckthornroute/internal/runner"
	"github.com/buckthornroute/buckthornroute/structs"
)

// operators implements the commands and queries of operators at one entry.
type operators struct {
	*entry
}

var (
	_ query.System    = operators{}
	_ command.Presets = operators{}
	_ command.Actions = operators{}
	_ command.Drainer = operators{}
)

// Put implements command.Presets.
func (o operators) Put(ctx context.Context, definition structs.Preset) error {
	return o.presets.Put(ctx, definition)
}

// Switch implements command.Presets.
func (o operators) Switch(ctx context.Context, name, operator string, expectedVersion uint64) (structs.PresetInForce, error) {
	return o.presets.Switch(ctx, name, operator, expectedVersion)
}

// InForce implements query.System.
func (o operators) InForce(context.Context) (structs.PresetInForce, error) {
	return *o.presets.inForce.Load(), nil
}

// Presets implements query.System.
func (o operators) Presets(ctx context.Context) ([]structs.Preset, error) {
	return o.presets.Definitions(ctx)
}

// Preset implements query.System.
func (o operators) Preset(ctx context.Context, name string) (structs.Preset, error) {
	return o.presets.Definition(ctx, name)
}

// maxActions bounds the number of actions in one listing.
const maxActions = 1000

// UnresolvedActions implements query.System. It returns all unresolved actions, which includes
// those in progress.
func (o operators) UnresolvedActions(ctx context.Context) ([]query.Action, error) {
	rows, _, err := o.runner.UnresolvedActions(ctx, "", "", maxActions)
	if err != nil {
		return nil, platformRefusal(err, "list actions")
	}
	out := make([]query.Action, len(rows))
	for i, row := range rows {
		out[i] = query.Action{
			Organisation: row.Organisation,
			Key:          row.Key,
			Name:         row.Tool,
			Program:      row.Program,
			State:        string(row.State),
			Created:      row.Created,
		}
	}
	return out, nil
}

// Settle implements command.Actions.
func (o operators) Settle(ctx context.Context, c command.SettleAction) error {
	_, err := o.runner.Settle(ctx, runner.Settlement{
		Organisation: c.Organisation,
		Key:          c.Key,
		Ran:          c.Outcome == structs.OutcomeRan,
		Result:       c.Result,
		Operator:     c.Operator,
	})
	if err == nil {
		o.env.Log.Emit(eventlog.ActionSettled, eventlog.Fields{Step: "settle action", Organisation: c.Organisation, Detail: c.Operator + " settled " + c.Key})
	}
	return err
}
