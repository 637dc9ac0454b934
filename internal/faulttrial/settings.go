package faulttrial

import (
	"os"
	"path/filepath"
	"text/template"
	"time"

	"github.com/cockroachdb/errors"
)

// Names, tokens and time limits of the trial's deployment.
const (
	modelName        = "desk"
	toolSearch       = "search_records"
	toolPublish      = "publish_dataset"
	serviceOrder     = "order_printing"
	callerToken      = "trial-caller-token"
	operatorOneToken = "trial-operator-token"
	operatorTwoToken = "trial-operator2-token"
	presetFirst      = "ordinary"
	presetSecond     = "peak"
	shutdownGrace    = "30s"
	// toolTimeout bounds a tool call. It is below eventTimeout, so that a hung tool does
	// not look like a stalled stream.
	toolTimeout = 3 * time.Second
)

// upstreamSettings has the settings of one upstream and its side. Peer and HTTP are the
// addresses on which the side listens, Platform is the platform's URL.
type upstreamSettings struct {
	ID, Kind, URL, VM, Domain string
	Peer, HTTP, Platform      string
}

// entrySettings has the settings of one entry. Peer and HTTP are the addresses on which it
// listens, Peers the peer addresses of the other entries, Platform and Tools are URLs.
type entrySettings struct {
	Node, VM, Domain     string
	Peer, HTTP, Platform string
	Peers                []string
	Sides                []upstreamSettings
	Tools                string
	ToolTimeout          time.Duration
}

var sideTemplate = template.Must(template.New("side").Parse(`node = "side-{{.ID}}"
vm = "{{.VM}}"
failure_domain = "{{.Domain}}"
region = "trial"
platform_url = "{{.Platform}}"
listen_peer = "{{.Peer}}"
listen_http = "{{.HTTP}}"
shutdown_grace = "` + shutdownGrace + `"

[upstream]
id = "{{.ID}}"
kind = "{{.Kind}}"
url = "{{.URL}}"
models = ["{{if eq .Kind "model"}}` + modelName + `{{else}}` + serviceOrder + `{{end}}"]

[tls]
insecure_plain = true
`))

var entryTemplate = template.Must(template.New("entry").Parse(`node = "{{.Node}}"
vm = "{{.VM}}"
failure_domain = "{{.Domain}}"
region = "trial"
platform_url = "{{.Platform}}"
listen_peer = "{{.Peer}}"
listen_http = "{{.HTTP}}"
peers = [{{range .Peers}}"{{.}}", {{end}}]
initial_preset = "` + presetFirst + `"
shutdown_grace = "` + shutdownGrace + `"

[tls]
insecure_plain = true
{{range .Sides}}
[[sides]]
upstream = "{{.ID}}"
kind = "{{.Kind}}"
address = "{{.Peer}}"
vm = "{{.VM}}"
failure_domain = "{{.Domain}}"
{{end}}
[[tools]]
name = "` + toolSearch + `"
url = "{{.Tools}}"
timeout = "{{.ToolTimeout}}"

[[tools]]
name = "` + toolPublish + `"
url = "{{.Tools}}"
timeout = "{{.ToolTimeout}}"
non_repeatable = true
answers_status = true

[[services]]
name = "` + serviceOrder + `"
kind = "application"
timeout = "10s"
non_repeatable = true
answers_status = true

[[callers]]
token = "` + callerToken + `"
organisation = "trial-council"

[[operators]]
token = "` + operatorOneToken + `"
name = "one"

[[operators]]
token = "` + operatorTwoToken + `"
name = "two"

[[preset]]
name = "` + presetFirst + `"
latency_weight = 1.0
waste_weight = 0.5
admit_new = true
max_queue = 64
policy = "cost"
hold_max = "20s"
patience = { default = "60s" }

[[preset]]
name = "` + presetSecond + `"
latency_weight = 2.0
waste_weight = 0.5
admit_new = true
max_queue = 64
policy = "cost"
hold_max = "8s"
patience = { default = "60s" }
`))

// writeSettings executes the template, writes the result to name.toml in dir and returns its
// path.
func writeSettings(dir, name string, t *template.Template, data any) (string, error) {
	path := filepath.Join(dir, name+".toml")
	file, err := os.Create(path)
	if err != nil {
		return "", errors.Wrapf(err, "settings of %s", name)
	}
	defer file.Close()
	return path, errors.Wrapf(t.Execute(file, data), "settings of %s", name)
}
