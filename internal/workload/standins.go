package workload

import (
	"fmt"
	"time"

	"github.com/buckthornroute/buckthornroute/internal/standin"
	"github.com/buckthornroute/buckthornroute/structs"
)

// EngineName returns the name of the i-th model engine, counted from 0.
func EngineName(d Deployment, i int) string { return fmt.Sprintf("%s-model-%02d", d.Name, i) }

// restartTime is the time until a crashed engine restarts. It is longer than any run.
const restartTime = time.Hour

// StandIns returns the settings of the deployment's model engines on free ports of loopback.
// The engines add each answered call to the ledger.
func StandIns(d Deployment, timeScale float64, ledger *Ledger) standin.Config {
	observe := func(o standin.Observation) { ledger.Add(o.Prompt, o.Conversation, o.PromptTokens, o.CachedTokens) }
	config := standin.Config{TimeScale: timeScale}
	for i := range d.Engines.Count {
		config.Models = append(config.Models, standin.ModelConfig{
			Name:            EngineName(d, i),
			Listen:          "127.0.0.1:0",
			VM:              structs.VMID("vm-" + EngineName(d, i)),
			Domain:          structs.FailureDomain(d.Engines.Domains[i%len(d.Engines.Domains)]),
			Models:          []string{d.Model},
			PrefillRate:     d.Engines.PrefillRate,
			StepTime:        structs.Duration(d.Engines.StepTime),
			StepTimePerCall: structs.Duration(d.Engines.StepTimePerCall),
			BatchLimit:      d.Engines.BatchLimit,
			KVTokens:        d.Engines.KVTokens,
			ReportLag:       structs.Duration(float64(d.Engines.ReportLag) * timeScale),
			RestartTime:     structs.Duration(restartTime),
			TimeScale:       timeScale,
			Observe:         observe,
		})
	}
	return config
}
