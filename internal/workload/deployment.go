package workload

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
)

// Engine describes the model engines of a deployment, which are all alike. Times are modelled.
type Engine struct {
	Count int
	// Domains has the failure domains, to which the engines are assigned in rotation.
	Domains []string
	// PrefillRate is the prefill speed in tokens per second.
	PrefillRate float64
	// StepTime is the time of a decode step with one call in the batch.
	StepTime time.Duration
	// StepTimePerCall is the time that each further call of the batch adds to a step.
	StepTimePerCall time.Duration
	// BatchLimit is the maximum number of calls in the batch.
	BatchLimit int
	// KVTokens is the size of the prefix cache in tokens.
	KVTokens int64
	// ReportLag is the age of an engine's load report when it is received.
	ReportLag time.Duration
}

// Kind describes one kind of program. Sizes are in tokens, times are modelled. Sizes and times
// that are given as a median are drawn from a log-normal distribution.
type Kind struct {
	Name string
	// Share is the share of the kind in all arrivals.
	Share float64
	// SharedPrompt is the length of the first part of the system prompt, which all programs of
	// the kind share.
	SharedPrompt int
	// OrganisationPrompt is the length of the rest of the system prompt, which only the
	// programs of the kind that belong to the same organisation share.
	OrganisationPrompt int
	// Templates is the number of template documents, Template the length of each. The first
	// turn of a program begins with one of them, unless Templates is 0.
	Templates, Template int
	// First is the median length of the content of the first turn, without the template.
	// Later is that of each later turn.
	First, Later int
	// Spread is the standard deviation of the logarithm of the sizes whose medians are First,
	// Later and Task.
	Spread float64
	// Turns has the minimum and the maximum number of turns.
	Turns [2]int
	// Tools has the minimum and the maximum number of tool calls of a turn.
	Tools [2]int
	// AgentProbability is the probability that a turn has a sub-agent, Task the median
	// length of that sub-agent's task.
	AgentProbability float64
	Task             int
	// Answer is the median length of the answer of a turn or a sub-agent.
	Answer int
	// Pause is the median duration of a tool call, Think that of the time between an answer
	// and the next turn.
	Pause, Think time.Duration
	// TurnTimeout is how long a caller waits for the answer of one turn.
	TurnTimeout time.Duration
}

// Deployment describes the model engines and the workload of one sample installation.
type Deployment struct {
	Name          string
	Region        string
	Model         string
	Engines       Engine
	Kinds         []Kind
	Tools         []string // names of the tools that turns call
	Organisations int      // number of organisations
	// Rate is the arrival rate at the peak, outside bursts, in programs per second.
	Rate float64
	// Burst is the factor by which the arrival rate is higher inside a burst, BurstEvery the
	// time between the starts of two bursts, BurstLength the duration of a burst.
	Burst                   float64
	BurstEvery, BurstLength time.Duration
	// LatencyWeight and WasteWeight are the weights of the peak preset.
	LatencyWeight, WasteWeight float64
}

// Names of the deployments.
const (
	Taichung = "taichung"
	Hokkaido = "hokkaido"
)

// ErrUnknownDeployment is returned for a name that no deployment has.
var ErrUnknownDeployment = errors.New("unknown deployment")

// NewDeployment returns the deployment of the given name, or ErrUnknownDeployment.
func NewDeployment(name string) (Deployment, error) {
	switch name {
	case Taichung:
		return taichung(), nil
	case Hokkaido:
		return hokkaido(), nil
	}
	return Deployment{}, errors.Wrapf(ErrUnknownDeployment, "%q", name)
}

// taichung models the evening peak of Taichung: many short questions and, at the same time,
// the long drafts of clerks.
func taichung() Deployment {
	return Deployment{
		Name: Taichung, Region: "tw-central", Model: "council-8b",
		Engines: Engine{
			Count: 12, Domains: []string{"a", "b", "c"},
			PrefillRate: 8000, StepTime: 20 * time.Millisecond, StepTimePerCall: 500 * time.Microsecond,
			BatchLimit: 16, KVTokens: 96 << 10, ReportLag: 500 * time.Millisecond,
		},
		Kinds: []Kind{
			{
				Name: "question", Share: 0.75, SharedPrompt: 1536, OrganisationPrompt: 512,
				First: 700, Later: 150, Spread: 0.8, Turns: [2]int{1, 2}, Tools: [2]int{1, 3}, Answer: 60,
				Pause: 400 * time.Millisecond, Think: 3 * time.Second, TurnTimeout: 20 * time.Second,
			},
			{
				Name: "draft", Share: 0.25, SharedPrompt: 2048, OrganisationPrompt: 1024, Templates: 8, Template: 1536,
				First: 6000, Later: 500, Spread: 0.7, Turns: [2]int{3, 6}, Tools: [2]int{0, 2}, Answer: 120,
				AgentProbability: 0.15, Task: 120,
				Pause: 800 * time.Millisecond, Think: 3 * time.Second, TurnTimeout: 45 * time.Second,
			},
		},
		Tools:         []string{"search_records", "portal_lookup"},
		Organisations: 40, Rate: 6.8, Burst: 1.8, BurstEvery: 30 * time.Second, BurstLength: 6 * time.Second,
		LatencyWeight: 2, WasteWeight: 24,
	}
}

// hokkaido models the evening before the print run of Hokkaido: long minutes that share
// templates.
func hokkaido() Deployment {
	return Deployment{
		Name: Hokkaido, Region: "hokkaido", Model: "newsletter-8b",
		Engines: Engine{
			Count: 9, Domains: []string{"sapporo", "asahikawa", "obihiro"},
			PrefillRate: 6000, StepTime: 22 * time.Millisecond, StepTimePerCall: 600 * time.Microsecond,
			BatchLimit: 12, KVTokens: 128 << 10, ReportLag: 500 * time.Millisecond,
		},
		Kinds: []Kind{
			{
				Name: "newsletter", Share: 0.6, SharedPrompt: 2048, OrganisationPrompt: 512, Templates: 6, Template: 3072,
				First: 9000, Later: 400, Spread: 0.5, Turns: [2]int{3, 5}, Tools: [2]int{1, 3}, Answer: 120,
				AgentProbability: 0.3, Task: 160,
				Pause: 1500 * time.Millisecond, Think: 3 * time.Second, TurnTimeout: 60 * time.Second,
			},
			{
				Name: "question", Share: 0.4, SharedPrompt: 1536, OrganisationPrompt: 512,
				First: 400, Later: 150, Spread: 0.8, Turns: [2]int{1, 2}, Tools: [2]int{1, 2}, Answer: 60,
				Pause: 600 * time.Millisecond, Think: 3 * time.Second, TurnTimeout: 25 * time.Second,
			},
		},
		Tools:         []string{"read_minutes", "search_notices"},
		Organisations: 60, Rate: 1.4, Burst: 2, BurstEvery: 30 * time.Second, BurstLength: 6 * time.Second,
		LatencyWeight: 1, WasteWeight: 8,
	}
}

// KindOf returns the kind of the given name.
func (d Deployment) KindOf(name string) (Kind, error) {
	for _, k := range d.Kinds {
		if k.Name == name {
			return k, nil
		}
	}
	return Kind{}, fmt.Errorf("kind %q does not exist in deployment %q", name, d.Name)
}
