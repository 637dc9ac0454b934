package side

import (
	"context"
	"time"

	"github.com/buckthornroute/buckthornroute/internal/engine"
	"github.com/buckthornroute/buckthornroute/structs"
)

// ModelEngine is the interface of a model engine that a side uses. *engine.Model
// implements it.
type ModelEngine interface {
	Call(ctx context.Context, call structs.ModelCall, options engine.CallOptions, onChunk func(offset int, text string)) (structs.ModelAnswer, error)
	Hold(ctx context.Context, program structs.ProgramID) (engine.Hold, error)
	Release(ctx context.Context, program structs.ProgramID) error
	Holds(ctx context.Context) ([]engine.Hold, error)
	Load(ctx context.Context) (structs.Load, error)
	CacheEvents(ctx context.Context, after uint64) (engine.CacheEvents, error)
	CacheSnapshot(ctx context.Context) (engine.CacheSnapshot, error)
	LoadModel(ctx context.Context, order engine.LoadModelOrder) error
	SetRole(ctx context.Context, order engine.RoleOrder) error
}

// Service is the interface of an application engine that a side uses. *engine.Service
// implements it.
type Service interface {
	Invoke(ctx context.Context, req structs.ToolRequest) (string, error)
	Status(ctx context.Context, name, key string) (engine.StatusResponse, error)
	Load(ctx context.Context) (structs.Load, error)
}

var (
	_ ModelEngine = (*engine.Model)(nil)
	_ Service     = (*engine.Service)(nil)
)

// controlTimeout bounds one control request to the upstream or one read from the platform.
const controlTimeout = 2 * time.Second

// orderTimeout bounds one order to the upstream, such as loading a model.
const orderTimeout = time.Minute
