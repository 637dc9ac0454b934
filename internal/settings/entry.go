package settings

import (
	"time"

	"github.com/buckthornroute/buckthornroute/structs"
)

// Entry is the settings of one buckthorn-entry process.
type Entry struct {
	// Node names the process; it begins the ids of its logs. Required.
	Node structs.NodeID `toml:"node"`
	// VM is the process's VM in the platform's list. Required.
	VM structs.VMID `toml:"vm"`
	// FailureDomain and Region say where the VM is. Required.
	FailureDomain structs.FailureDomain `toml:"failure_domain"`
	Region        string                `toml:"region"`
	// ListenHTTP is the address of the callers' and operators' API, health and metrics. Required.
	ListenHTTP string `toml:"listen_http"`
	// ListenPeer is the address of the listener for other processes. Required.
	ListenPeer string `toml:"listen_peer"`
	// AdvertisePeer is the address that other processes dial. Default: ListenPeer.
	AdvertisePeer string `toml:"advertise_peer"`
	// PlatformURL is the base URL of the platform's services. Required.
	PlatformURL string `toml:"platform_url"`
	// Peers are the peer addresses of the other entries. Default: none.
	Peers []string `toml:"peers"`
	// Sides are the sides beside the upstreams.
	Sides []SideAddress `toml:"sides"`
	// Tools are the services that programs call by name.
	Tools []Tool `toml:"tools"`
	// Services are the plain services that callers call by name.
	Services []Service `toml:"services"`
	// Callers and Operators are bearer tokens; no token may stand in both.
	Callers   []Caller   `toml:"callers"`
	Operators []Operator `toml:"operators"`
	// Budget is the budget of a program that asks for none.
	Budget Budget `toml:"budget"`
	// Limits bounds sizes.
	Limits Limits `toml:"limits"`
	// Journal sets the home log.
	Journal Journal `toml:"journal"`
	// Presets are the definitions stored at the platform when they are absent there.
	Presets []structs.Preset `toml:"preset"`
	// InitialPreset names the preset put in force when none is yet. Required with Presets.
	InitialPreset string `toml:"initial_preset"`
	// PresetSpread sets how the preset in force spreads.
	PresetSpread PresetSpread `toml:"preset_spread"`
	// Membership sets heartbeats and suspicion.
	Membership Membership `toml:"membership"`
	// ShutdownGrace bounds a graceful shutdown. Default 30s.
	ShutdownGrace structs.Duration `toml:"shutdown_grace"`
	TLS           TLS              `toml:"tls"`
	Telemetry     Telemetry        `toml:"telemetry"`
	Log           Log              `toml:"log"`
}

// SideAddress is one side that the entry may send calls to.
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
	// Name is the name by which models call it.
	Name string `toml:"name"`
	// URL is the base URL of the service.
	URL string `toml:"url"`
	// NonRepeatable marks an action that runs at most once. Default false.
	NonRepeatable bool `toml:"non_repeatable"`
	// Timeout bounds one call. Default 30s.
	Timeout structs.Duration `toml:"timeout"`
	// AnswersStatus says that each of the service's engines answers whether a key ran
	// at any of them. Default false.
	AnswersStatus bool `toml:"answers_status"`
}

// Service is one plain service, served by the application engines.
type Service struct {
	Name string `toml:"name"`
	// Kind is the kind of upstream that serves it. Default "application".
	Kind structs.UpstreamKind `toml:"kind"`
	// NonRepeatable marks an action that runs at most once. Default false.
	NonRepeatable bool `toml:"non_repeatable"`
	// Timeout bounds one call. Default 30s.
	Timeout structs.Duration `toml:"timeout"`
	// AnswersStatus says that each of the service's engines answers whether a key ran
	// at any of them. Default false.
	AnswersStatus bool `toml:"answers_status"`
}

// Caller is one caller's token.
type Caller struct {
	Token        string                 `toml:"token"`
	Organisation structs.OrganisationID `toml:"organisation"`
}

// Operator is one operator's token; Name stands in logs and in the preset in force.
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
	// ToolTime bounds the time in tools. Default 10m.
	ToolTime structs.Duration `toml:"tool_time"`
	// Depth bounds the nesting of sub-agents. Default 3.
	Depth int `toml:"depth"`
	// Agents bounds the sub-agents of the whole tree. Default 32.
	Agents int64 `toml:"agents"`
}

// Structs returns the budget as programs carry it.
func (b Budget) Structs() structs.Budget {
	return structs.Budget{
		Tokens:   b.Tokens,
		Calls:    b.Calls,
		ToolTime: time.Duration(b.ToolTime),
		Depth:    b.Depth,
		Agents:   b.Agents,
	}
}

// Limits bounds sizes; each has a clear refusal.
type Limits struct {
	// BodyBytes bounds a request's body. Default 4 MiB.
	BodyBytes int64 `toml:"body_bytes"`
	// HistoryTokens bounds a program's history. Default 400,000.
	HistoryTokens int64 `toml:"history_tokens"`
	// OpenPrograms bounds the programs at home here. Default 4,000.
	OpenPrograms int `toml:"open_programs"`
	// RingSize is the number of messages in each ring between duties. Default 1024.
	RingSize int `toml:"ring_size"`
}

// Journal sets the home log.
type Journal struct {
	// CommitMinInterval bounds the time between two records from below. Default 5ms.
	CommitMinInterval structs.Duration `toml:"commit_min_interval"`
	// WriteSharePerSecond bounds the writes of all entries' logs at the platform
	// together; each entry takes its part by the number of entries. Default 200.
	WriteSharePerSecond float64 `toml:"write_share_per_second"`
	// CheckpointEvery is the number of records between two checkpoints. Default 256.
	CheckpointEvery int `toml:"checkpoint_every"`
	// InlineBytes is the size above which a batch goes to the object store. Default 64 KiB.
	InlineBytes int `toml:"inline_bytes"`
}

// PresetSpread sets how the preset in force spreads.
type PresetSpread struct {
	// PollInterval is the time between two polls of the platform's row by one poller. Default 250ms.
	PollInterval structs.Duration `toml:"poll_interval"`
	// Pollers is the number of entries that poll it. Default 3.
	Pollers int `toml:"pollers"`
	// CutOffAfter is how long an entry that hears neither platform nor peers takes new work. Default 2s.
	CutOffAfter structs.Duration `toml:"cut_off_after"`
}

// Membership sets heartbeats and suspicion between entries.
type Membership struct {
	// Heartbeat is the time between two heartbeats to one peer. Default 200ms.
	Heartbeat structs.Duration `toml:"heartbeat"`
	// Suspicion is the silence after which a peer is suspected. Default 1s.
	Suspicion structs.Duration `toml:"suspicion"`
	// VMListInterval is the time between two reads of the platform's VM list. Default 1s.
	VMListInterval structs.Duration `toml:"vm_list_interval"`
}
