package settings

import (
	"github.com/buckthornroute/buckthornroute/structs"
)

// Gateway is the settings of a buckthorn-entry on which callers drive their own
// programs. A settings file with the key table_address is one.
type Gateway struct {
	// Node names the process. Required.
	Node structs.NodeID `toml:"node"`
	// FailureDomain says where the VM is. Required.
	FailureDomain structs.FailureDomain `toml:"failure_domain"`
	// FirstStart says that the whole system starts for the first time. Default false.
	FirstStart bool `toml:"first_start"`
	// ListenCallers is the address for callers. Required.
	ListenCallers string `toml:"listen_callers"`
	// ListenReady is the address that answers whether the process takes new connections. Required.
	ListenReady string `toml:"listen_ready"`
	// ListenMesh is the address for other entries, by TCP. Required.
	ListenMesh string `toml:"listen_mesh"`
	// ListenDigests is the address for other entries' digests, by UDP. Required.
	ListenDigests string `toml:"listen_digests"`
	// TableAddress is the address of the platform's table. Required.
	TableAddress string `toml:"table_address"`
	// TableWritesPerSecond is the transactions that all entries together may ask of the
	// table. Required.
	TableWritesPerSecond int `toml:"table_writes_per_second"`
	// TableRowBytes bounds the value of a row. Default 65536.
	TableRowBytes int `toml:"table_row_bytes"`
	// MemoryMB is the memory that the process may use. Required.
	MemoryMB int `toml:"memory_mb"`
	// ShutdownGrace is the time between the signal to stop and the end by force. Required.
	ShutdownGrace structs.Duration `toml:"shutdown_grace"`
	// OutageListGrace is how long after the table's return an upstream that is missing
	// from it is still believed in. Default 2s.
	OutageListGrace structs.Duration `toml:"outage_list_grace"`
	Telemetry       Telemetry        `toml:"telemetry"`
	Log             Log              `toml:"log"`
}

// Defaults of Gateway.
const defaultRowBytes = 65536

func defaultGateway() *Gateway {
	return &Gateway{
		TableRowBytes:   defaultRowBytes,
		OutageListGrace: seconds(2),
		Telemetry:       defaultTelemetry(),
		Log:             defaultLog(),
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

// ParseGateway reads the settings of a gateway from data; file names them in errors.
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
