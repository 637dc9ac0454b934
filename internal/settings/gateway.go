package settings

import (
	"time"

	"github.com/buckthornroute/buckthornroute/structs"
)

// Gateway is the settings of a buckthorn-entry whose callers run their own programs
// and send each call separately. A settings file with the key table_address is of this kind.
type Gateway struct {
	// Node is the name of the process. Required.
	Node structs.NodeID `toml:"node"`
	// FailureDomain is the failure domain of the process's VM. Required.
	FailureDomain structs.FailureDomain `toml:"failure_domain"`
	// FirstStart declares that this is the first start of the whole system, when there are
	// no earlier budget grants to collect from other entries. Default false.
	FirstStart bool `toml:"first_start"`
	// ListenCallers is the address of the listener for callers. Required.
	ListenCallers string `toml:"listen_callers"`
	// ListenReady is the address of the listener for readiness probes, which ask whether the
	// process accepts new connections. Required.
	ListenReady string `toml:"listen_ready"`
	// ListenMesh is the TCP address of the listener for other entries. Required.
	ListenMesh string `toml:"listen_mesh"`
	// ListenDigests is the UDP address that receives the digests of other entries. Required.
	ListenDigests string `toml:"listen_digests"`
	// TableAddress is the address of the platform's table. Required.
	TableAddress string `toml:"table_address"`
	// TableWritesPerSecond bounds the transactions per second that all entries together
	// send to the table. Required.
	TableWritesPerSecond int `toml:"table_writes_per_second"`
	// TableRowBytes bounds the value of a table row, in bytes. Default 65536.
	TableRowBytes int `toml:"table_row_bytes"`
	// MemoryMB is the memory that the process may use, in MiB (2^20 bytes). Required.
	MemoryMB int `toml:"memory_mb"`
	// ShutdownGrace is the time that the process has between the signal to stop and its kill.
	// Required.
	ShutdownGrace structs.Duration `toml:"shutdown_grace"`
	// OutageListGrace is the time after a table outage during which an upstream that is
	// missing from the table still counts as present. Default 2s.
	OutageListGrace structs.Duration `toml:"outage_list_grace"`
	// UpstreamHeartbeat is the interval at which upstreams report to the table. An upstream that
	// has been silent for 3 intervals is removed from it. Default 1200ms.
	UpstreamHeartbeat structs.Duration `toml:"upstream_heartbeat"`
	// ProgramCostAdmission has new programs admitted by what they will probably need until their end, for
	// callers that say when a program should end. Otherwise only the calls per slot count. Default false.
	ProgramCostAdmission bool      `toml:"program_cost_admission"`
	Telemetry            Telemetry `toml:"telemetry"`
	Log                  Log       `toml:"log"`
}

// defaultRowBytes is the default of Gateway.TableRowBytes.
const defaultRowBytes = 65536

// defaultUpstreamHeartbeat is the default of Gateway.UpstreamHeartbeat.
const defaultUpstreamHeartbeat = structs.Duration(1200 * time.Millisecond)

func defaultGateway() *Gateway {
	return &Gateway{
		TableRowBytes:     defaultRowBytes,
		OutageListGrace:   seconds(2),
		UpstreamHeartbeat: defaultUpstreamHeartbeat,
		Telemetry:         defaultTelemetry(),
		Log:               defaultLog(),
	}
}

func (s *Gateway) check(c *checker) {
	c.name("node", string(s.Node))
	c.required("failure_domain", string(s.FailureDomain))
	c.address("listen_callers", s.ListenCallers)
	c.address("listen_ready", s.ListenReady)
	c.address("listen_mesh", s.ListenMesh)
	c.address("listen_digests", s.ListenDigests)
	c.address("table_address", s.TableAddress)
	c.positive("table_writes_per_second", int64(s.TableWritesPerSecond))
	c.positive("table_row_bytes", int64(s.TableRowBytes))
	c.positive("memory_mb", int64(s.MemoryMB))
	c.duration("shutdown_grace", s.ShutdownGrace)
	c.duration("outage_list_grace", s.OutageListGrace)
	c.duration("upstream_heartbeat", s.UpstreamHeartbeat)
	s.Telemetry.check(c)
	s.Log.check(c)
}

// LoadGateway reads the settings of a gateway. Errors are *Error.
func LoadGateway(path string) (*Gateway, error) {
	data, err := read(path)
	if err != nil {
		return nil, err
	}
	return ParseGateway(data, path)
}

// ParseGateway reads the settings of a gateway from data. Errors are *Error with file as their File.
func ParseGateway(data []byte, file string) (*Gateway, error) {
	s := defaultGateway()
	if err := decode(data, file, s); err != nil {
		return nil, err
	}
	c := &checker{file: file}
	s.check(c)
	if c.err != nil {
		return nil, c.err
	}
	return s, nil
}
