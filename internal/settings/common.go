package settings

import (
	"time"

	"github.com/buckthornroute/buckthornroute/structs"
)

// TLS names the PEM files for mutual TLS between processes. The files are reloaded
// when they change.
type TLS struct {
	// Cert, Key and CA are file paths. Required unless InsecurePlain is true.
	Cert string `toml:"cert"`
	Key  string `toml:"key"`
	CA   string `toml:"ca"`
	// InsecurePlain allows plain TCP without authentication between processes. Default false.
	InsecurePlain bool `toml:"insecure_plain"`
}

func (t *TLS) check(c *checker) {
	if t.InsecurePlain {
		if t.Cert != "" || t.Key != "" || t.CA != "" {
			c.fail("tls.insecure_plain", "is true, which excludes tls.cert, tls.key and tls.ca")
		}
		return
	}
	const reason = "is required unless tls.insecure_plain is true"
	if t.Cert == "" {
		c.fail("tls.cert", reason)
	}
	if t.Key == "" {
		c.fail("tls.key", reason)
	}
	if t.CA == "" {
		c.fail("tls.ca", reason)
	}
}

// Log sets the format and level of the log on standard error.
type Log struct {
	// Format is "json" or "text". Default "json".
	Format string `toml:"format"`
	// Level is "debug", "info", "warning" or "error". Default "info".
	Level string `toml:"level"`
}

func (l *Log) check(c *checker) {
	c.oneOf("log.format", l.Format, "json", "text")
	c.oneOf("log.level", l.Level, "debug", "info", "warning", "error")
}

// Values of Telemetry.Traces, the exporter of traces.
const (
	TracesNone   = "none"
	TracesStdout = "stdout"
	TracesOTLP   = "otlp"
)

// Telemetry configures metrics and traces.
type Telemetry struct {
	// Metrics is the address of an extra listener that serves only /metrics, in
	// addition to /metrics at listen_http, if there is one. Default: none.
	Metrics string `toml:"metrics"`
	// Traces is "none", "stdout" or "otlp". Default "none".
	Traces string `toml:"traces"`
	// Endpoint is the URL of the OTLP collector over HTTP. Required for "otlp".
	Endpoint string `toml:"endpoint"`
	// SampleRatio is the fraction of the traces started by this process that are
	// sampled, 0 to 1. Default 1.
	SampleRatio float64 `toml:"sample_ratio"`
}

func (t *Telemetry) check(c *checker) {
	c.optionalAddress("telemetry.metrics", t.Metrics)
	c.oneOf("telemetry.traces", t.Traces, TracesNone, TracesStdout, TracesOTLP)
	if t.Traces == TracesOTLP {
		c.httpURL("telemetry.endpoint", t.Endpoint)
	}
	if t.SampleRatio < 0 || t.SampleRatio > 1 {
		c.fail("telemetry.sample_ratio", "%v is not between 0 and 1", t.SampleRatio)
	}
}

func defaultLog() Log { return Log{Format: "json", Level: "info"} }

func defaultTelemetry() Telemetry { return Telemetry{Traces: TracesNone, SampleRatio: 1} }

func seconds(n int) structs.Duration { return structs.Duration(time.Duration(n) * time.Second) }

func milliseconds(n int) structs.Duration {
	return structs.Duration(time.Duration(n) * time.Millisecond)
}
