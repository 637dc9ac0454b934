package settings

import (
	"time"

	"github.com/buckthornroute/buckthornroute/structs"
)

// Entry is the settings of a buckthorn-entry process that runs programs for its callers.
// Gateway is the settings of a buckthorn-entry whose callers run their own programs.
type Entry struct {
	// Node is the name of the process and the prefix of its log ids. Required.
	Node structs.NodeID `toml:"node"`
	// VM is the id of the process's VM in the platform's VM list. Required.
	VM structs.VMID `toml:"vm"`
	// FailureDomain and Region locate the VM. Required.
	FailureDomain structs.FailureDomain `toml:"failure_domain"`
	Region        string                `toml:"region"`
	// ListenHTTP is the address of the listener for the APIs of callers and operators, health
	// checks and metrics. Required.
	ListenHTTP string `toml:"listen_http"`
	// ListenPeer is the address of the listener for other processes. Required.
	ListenPeer string `toml:"listen_peer"`
	// AdvertisePeer is the address that other processes dial. Default: ListenPeer.
	AdvertisePeer string `toml:"advertise_peer"`
	// PlatformURL is the base URL of the platform's services. Required.
	PlatformURL string `toml:"platform_url"`
	// Peers are the peer addresses of the other entries. Default: none.
	Peers []string `toml:"peers"`
	// Sides are the buckthorn-side processes that calls may be sent to, one for each upstream.
	// Default: none.
	Sides []SideAddress `toml:"sides"`
	// Tools are the tool services that models call by name. Default: none.
	Tools []Tool `toml:"tools"`
	// Services are the services that callers invoke by name outside a program, and that models
	// may call like a tool. Default: none.
	Services []Service `toml:"services"`
	// Callers and Operators list the bearer tokens. Each token must be unique over both lists.
	// Default: none.
	Callers   []Caller   `toml:"callers"`
	Operators []Operator `toml:"operators"`
	// Budget is the budget of a program that is opened without one.
	Budget Budget `toml:"budget"`
	// Limits bounds sizes and counts.
	Limits Limits `toml:"limits"`
	// HomeLog configures the home log; its TOML key is journal.
	HomeLog HomeLog `toml:"journal"`
	// Presets are preset definitions. Those that are missing at the platform are stored there.
	// Default: none.
	Presets []structs.Preset `toml:"preset"`
	// InitialPreset names the preset that is put in force if none ever was. Required if Presets
	// is not empty.
	InitialPreset string `toml:"initial_preset"`
	// PresetSpread configures how the preset in force reaches the entries.
	PresetSpread PresetSpread `toml:"preset_spread"`
	// Membership configures failure detection between entries.
	Membership Membership `toml:"membership"`
	// ShutdownGrace bounds a graceful shutdown. Default 30s.
	ShutdownGrace structs.Duration `toml:"shutdown_grace"`
	TLS           TLS              `toml:"tls"`
	Telemetry     Telemetry        `toml:"telemetry"`
	Log           Log              `toml:"log"`
}

// SideAddress is one side to which the entry may send calls. All keys are required.
type SideAddress struct {
	Upstream structs.UpstreamID   `toml:"upstream"`
	Kind     structs.UpstreamKind `toml:"kind"`
	// Address is the side's peer address.
	Address       string                `toml:"address"`
	VM            structs.VMID          `toml:"vm"`
	FailureDomain structs.FailureDomain `toml:"failure_domain"`
}

// Tool is one tool service.
type Tool struct {
	// Name is the tool name that models use. Required.
	Name string `toml:"name"`
	// URL is the base URL of the service. Required.
	URL string `toml:"url"`
	// Irreversible marks a service whose actions are irreversible, so that each must run at
	// most once. Default false.
	Irreversible bool `toml:"non_repeatable"`
	// Timeout bounds one call. Default 30s.
	Timeout structs.Duration `toml:"timeout"`
	// AnswersStatus reports whether the service can be asked if the action with a given key
	// ran. Default false.
	AnswersStatus bool `toml:"answers_status"`
}

// Service is one service that callers and models invoke by name, served by application
// engines.
type Service struct {
	// Name is the name that callers and models use. Required.
	Name string `toml:"name"`
	// Kind is a kind of upstream. It is only checked: calls go to application engines whatever
	// it is. Default "application".
	Kind structs.UpstreamKind `toml:"kind"`
	// Irreversible marks a service whose actions are irreversible, so that each must run at
	// most once. Default false.
	Irreversible bool `toml:"non_repeatable"`
	// Timeout bounds one call. Default 30s.
	Timeout structs.Duration `toml:"timeout"`
	// AnswersStatus reports whether each engine of the service can be asked if the action
	// with a given key ran on any of the service's engines. Default false.
	AnswersStatus bool `toml:"answers_status"`
}

// Caller maps one bearer token to the organisation of its caller. Both keys are required.
type Caller struct {
	Token        string                 `toml:"token"`
	Organisation structs.OrganisationID `toml:"organisation"`
}

// Operator maps one bearer token to an operator. Name is recorded in logs and in the preset in
// force. Both keys are required.
type Operator struct {
	Token string `toml:"token"`
	Name  string `toml:"name"`
}

// Budget is the default budget of a program.
type Budget struct {
	// Tokens bounds prompt and generated tokens. Default 2,000,000.
	Tokens int64 `toml:"tokens"`
	// Calls bounds model and tool calls. Default 400.
	Calls int64 `toml:"calls"`
	// ToolTime bounds the total time spent in tool calls. Default 10m.
	ToolTime structs.Duration `toml:"tool_time"`
	// Depth bounds the nesting of sub-agents. Default 3.
	Depth int `toml:"depth"`
	// Agents bounds the sub-agents in the program's whole tree. Default 32.
	Agents int64 `toml:"agents"`
}

// Structs converts b to the type that programs use.
func (b Budget) Structs() structs.Budget {
	return structs.Budget{
		Tokens:   b.Tokens,
		Calls:    b.Calls,
		ToolTime: time.Duration(b.ToolTime),
		Depth:    b.Depth,
		Agents:   b.Agents,
	}
}

// Limits bounds sizes and counts. A request beyond a bound gets a refusal.
type Limits struct {
	// BodyBytes bounds the body of a request. Default 4 MiB.
	BodyBytes int64 `toml:"body_bytes"`
	// HistoryTokens bounds a program's history. Default 400,000.
	HistoryTokens int64 `toml:"history_tokens"`
	// OpenPrograms bounds the open programs whose home is this entry. Default 4,000.
	OpenPrograms int `toml:"open_programs"`
	// RingSize is the capacity, in messages, of each ring (a bounded queue) between goroutines.
	// Default 1024.
	RingSize int `toml:"ring_size"`
}

// HomeLog configures the home log; its TOML key is journal.
type HomeLog struct {
	// CommitMinInterval is the shortest time between two commits to the home log. Default 5ms.
	CommitMinInterval structs.Duration `toml:"commit_min_interval"`
	// WriteSharePerSecond bounds the platform writes per second by the home logs of all
	// entries together. Each entry uses this rate divided by the number of entries. Default 200.
	WriteSharePerSecond float64 `toml:"write_share_per_second"`
	// CheckpointEvery is the number of log records between two checkpoints. Default 256.
	CheckpointEvery int `toml:"checkpoint_every"`
	// InlineBytes is the size in bytes above which a batch is written to the object store
	// instead of a table row. Default 64 KiB.
	InlineBytes int `toml:"inline_bytes"`
}

// PresetSpread configures how the preset in force reaches the entries.
type PresetSpread struct {
	// PollInterval is the time between two reads, by one poller, of the platform's row that
	// names the preset in force. Default 250ms.
	PollInterval structs.Duration `toml:"poll_interval"`
	// Pollers is the number of entries that poll the row and are the voters; the others learn
	// of a change from their peers. Default 3.
	Pollers int `toml:"pollers"`
	// CutOffAfter is how long an entry that reaches neither the platform nor its peers still
	// accepts new work. It is both the isolation timeout of package membership and the maximum
	// age of the freshness proof of package preset. Default 2s.
	CutOffAfter structs.Duration `toml:"cut_off_after"`
}

// Membership configures failure detection between entries.
type Membership struct {
	// Heartbeat is the interval between two heartbeats to one peer. Default 200ms.
	Heartbeat structs.Duration `toml:"heartbeat"`
	// Suspicion is the time without a heartbeat after which a peer is suspected. Default 1s.
	Suspicion structs.Duration `toml:"suspicion"`
	// VMListInterval is the time between two reads of the platform's VM list. Default 1s.
	VMListInterval structs.Duration `toml:"vm_list_interval"`
}
