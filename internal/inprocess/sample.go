package inprocess

import (
	"fmt"
	"time"

	"github.com/buckthornroute/buckthornroute/internal/platform"
	"github.com/buckthornroute/buckthornroute/internal/settings"
	"github.com/buckthornroute/buckthornroute/internal/standin"
	"github.com/buckthornroute/buckthornroute/structs"
)

// anyPort lets a stand-in listen on a free port of loopback.
const anyPort = "127.0.0.1:0"

// sampleShape has the values in which the two sample deployments differ.
type sampleShape struct {
	name, region, model string
	domains             []structs.FailureDomain
	tools               []settings.Tool
	services            []settings.Service
	wasteWeight         float64
}

// Taichung returns a small sample of the Taichung Open Data Office's deployment.
// timeScale is the real time in seconds of one modelled second.
func Taichung(timeScale float64) Config {
	return sample(sampleShape{
		name:    "taichung",
		region:  "tw-central",
		model:   "portal-chat",
		domains: []structs.FailureDomain{"a", "b", "c"},
		tools: []settings.Tool{
			{Name: "search_records"},
			{Name: "read_minutes"},
			{Name: "publish_dataset", Irreversible: true, AnswersStatus: true},
			{Name: "send_correction_notice", Irreversible: true, AnswersStatus: true},
		},
		services: []settings.Service{
			{Name: "portal_lookup"},
			{Name: "portal_publish", Irreversible: true, AnswersStatus: true},
		},
		wasteWeight: 12,
	}, timeScale)
}

// Hokkaido returns a small sample of the Hokkaido Federation's deployment. timeScale is the
// real time in seconds of one modelled second.
func Hokkaido(timeScale float64) Config {
	return sample(sampleShape{
		name:    "hokkaido",
		region:  "hokkaido",
		model:   "newsletter",
		domains: []structs.FailureDomain{"sapporo", "asahikawa", "obihiro"},
		tools: []settings.Tool{
			{Name: "read_minutes"},
			{Name: "search_notices"},
			{Name: "submit_item", Irreversible: true, AnswersStatus: true},
			{Name: "order_printing", Irreversible: true, AnswersStatus: true},
		},
		services: []settings.Service{
			{Name: "branch_lookup"},
			{Name: "mail_order", Irreversible: true, AnswersStatus: true},
		},
		wasteWeight: 8,
	}, timeScale)
}

// Sizes and limits of both samples. sampleModels and sampleApplications are the numbers of
// engines of each kind.
const (
	sampleEntries      = 3
	sampleModels       = 3
	sampleApplications = 2
	// sampleBatch is the number of calls that a model engine runs at the same time,
	// sampleQueue the number that may wait.
	sampleBatch = 8
	sampleQueue = 64
	// sampleWrites and sampleReads are the platform's rate limits per second.
	sampleWrites = 400
	sampleReads  = 2000
	// sampleVMLag is the delay with which the platform's VM list shows a change.
	sampleVMLag = 500 * time.Millisecond
)

// sample returns the configuration of a sample deployment.
func sample(shape sampleShape, timeScale float64) Config {
	return Config{
		Deployment:    shape.name,
		Region:        shape.region,
		Domains:       shape.domains,
		Entries:       sampleEntries,
		StandIns:      sampleStandIns(shape, timeScale),
		Tools:         shape.tools,
		Services:      shape.services,
		Presets:       samplePresets(shape.wasteWeight),
		InitialPreset: "ordinary",
		BatchLimit:    sampleBatch,
		QueueLimit:    sampleQueue,
	}
}

func sampleStandIns(shape sampleShape, timeScale float64) standin.Config {
	c := standin.Config{
		TimeScale: timeScale,
		Platform: &standin.PlatformConfig{
			Listen:          anyPort,
			WritesPerSecond: sampleWrites,
			ReadsPerSecond:  sampleReads,
			VMLag:           structs.Duration(sampleVMLag),
		},
		Tools: []standin.ServiceConfig{{Name: "tools", Listen: anyPort}},
	}
	add := func(vm structs.VMID, domain structs.FailureDomain) {
		c.Platform.VMs = append(c.Platform.VMs, platform.VMChange{ID: vm, Domain: domain, State: platform.VMLive})
	}
	for i := range sampleEntries {
		add(structs.VMID(fmt.Sprintf("vm-entry%d", i+1)), shape.domains[i%len(shape.domains)])
	}
	for i := range sampleModels {
		name, domain := fmt.Sprintf("%s-model-%d", shape.name, i+1), shape.domains[i%len(shape.domains)]
		vm := structs.VMID("vm-" + name)
		add(vm, domain)
		c.Models = append(c.Models, standin.ModelConfig{
			Name: name, Listen: anyPort, VM: vm, Domain: domain, Models: []string{shape.model}, BatchLimit: sampleBatch,
		})
	}
	for i := range sampleApplications {
		name, domain := fmt.Sprintf("%s-app-%d", shape.name, i+1), shape.domains[i%len(shape.domains)]
		vm := structs.VMID("vm-" + name)
		add(vm, domain)
		c.Applications = append(c.Applications, standin.ServiceConfig{Name: name, Listen: anyPort, VM: vm, Domain: domain})
	}
	return c
}

// samplePresets returns the presets "ordinary", "peak" and "maintenance". "peak" weighs
// latency more and has shorter limits; "maintenance" admits no new programs.
func samplePresets(wasteWeight float64) []structs.Preset {
	ordinary := structs.Preset{
		Name:          "ordinary",
		LatencyWeight: 1,
		WasteWeight:   wasteWeight,
		TurnTimeouts:  map[string]structs.Duration{settings.DefaultProgramKind: structs.Duration(30 * time.Second)},
		AdmitNew:      true,
		MaxQueue:      sampleQueue,
		Policy:        "cost",
		HoldMax:       structs.Duration(20 * time.Second),
	}
	peak := ordinary
	peak.Name = "peak"
	peak.LatencyWeight = 2
	peak.TurnTimeouts = map[string]structs.Duration{settings.DefaultProgramKind: structs.Duration(15 * time.Second)}
	peak.HoldMax = structs.Duration(8 * time.Second)
	maintenance := ordinary
	maintenance.Name = "maintenance"
	maintenance.AdmitNew = false
	return []structs.Preset{ordinary, peak, maintenance}
}
