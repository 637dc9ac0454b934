package workload

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/buckthornroute/buckthornroute/structs"
)

// Program is one program of a workload.
type Program struct {
	// Start is the intended start, relative to the start of the run.
	Start time.Duration
	Spec  structs.ProgramSpec
	Turns []Turn
}

// Turn is one turn of a program.
type Turn struct {
	// Think is the time between the previous answer and this turn.
	Think time.Duration
	// Content is the user message. It ends with a plan that the model stand-in follows.
	Content string
}

// zipfExponent is the exponent of the Zipf distribution from which organisations are drawn.
const zipfExponent = 1.1

// generator generates one workload.
type generator struct {
	deployment Deployment
	rand       *rand.Rand
	weights    []float64 // of the organisations, not normalised
}

// Generate returns the programs that start within length, ordered by their start. It multiplies
// the deployment's rate by load. The same arguments give the same workload.
func Generate(d Deployment, seed uint64, load float64, length time.Duration) []Program {
	g := &generator{deployment: d, rand: rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15))}
	for i := range d.Organisations {
		g.weights = append(g.weights, math.Pow(float64(i+1), -zipfExponent))
	}
	var out []Program
	for at := g.nextArrival(0, load); at < length; at = g.nextArrival(at, load) {
		out = append(out, g.newProgram(at, len(out)))
	}
	return out
}

// Organisations returns the organisations of a deployment.
func Organisations(d Deployment) []structs.OrganisationID {
	var out []structs.OrganisationID
	for i := range d.Organisations {
		out = append(out, organisationID(d, i))
	}
	return out
}

func organisationID(d Deployment, i int) structs.OrganisationID {
	return structs.OrganisationID(fmt.Sprintf("%s-org-%02d", d.Name, i))
}

// nextArrival returns the next arrival after at of a Poisson process with bursts. It draws
// arrivals at the rate inside a burst and drops a share of those outside (thinning).
func (g *generator) nextArrival(at time.Duration, load float64) time.Duration {
	maxRate := g.deployment.Rate * load * g.deployment.Burst
	for {
		at += time.Duration(g.rand.ExpFloat64() / maxRate * float64(time.Second))
		if g.rand.Float64() < g.burstFactor(at)/g.deployment.Burst {
			return at
		}
	}
}

// burstFactor returns the factor of the arrival rate: Burst inside a burst, 1 outside. A burst
// is at the end of each period of BurstEvery.
func (g *generator) burstFactor(at time.Duration) float64 {
	if at%g.deployment.BurstEvery >= g.deployment.BurstEvery-g.deployment.BurstLength {
		return g.deployment.Burst
	}
	return 1
}

// newProgram draws the n-th program, which starts at the given time.
func (g *generator) newProgram(at time.Duration, n int) Program {
	kind := g.drawKind()
	organisation := g.drawOrganisation()
	spec := structs.ProgramSpec{
		Organisation: organisationID(g.deployment, organisation),
		Kind:         kind.Name,
		Model:        g.deployment.Model,
		System: filler(g.deployment.Name+kind.Name, kind.SharedPrompt) +
			filler(fmt.Sprint(g.deployment.Name, kind.Name, organisation), kind.OrganisationPrompt),
		TurnTimeout: kind.TurnTimeout,
	}
	p := Program{Start: at, Spec: spec}
	for i := range g.drawBetween(kind.Turns) {
		p.Turns = append(p.Turns, g.newTurn(kind, n, i))
	}
	return p
}

// newTurn draws the n-th turn of a program. Turn 0 may begin with a template; the others begin
// after a think time.
func (g *generator) newTurn(kind Kind, program, n int) Turn {
	subject := fmt.Sprint(g.deployment.Name, "/", program, "/", n, "/", g.rand.Uint64())
	var content strings.Builder
	t := Turn{}
	size := kind.Later
	if n == 0 {
		size = kind.First
		if kind.Templates > 0 {
			template := g.rand.IntN(kind.Templates)
			content.WriteString(filler(fmt.Sprint(g.deployment.Name, kind.Name, "template", template), kind.Template))
		}
	} else {
		t.Think = g.drawDuration(kind.Think)
	}
	content.WriteString(filler(subject, g.drawTokens(size, kind.Spread)))
	content.WriteString("\nplan: ")
	content.WriteString(g.plan(kind, subject))
	t.Content = content.String()
	return t
}

// plan returns the plan of a turn for the model stand-in: tool calls, possibly a sub-agent,
// then the answer. The spread of an answer's length is 0.5, or 0.3 for that of a sub-agent.
func (g *generator) plan(kind Kind, subject string) string {
	var steps []string
	for range g.drawBetween(kind.Tools) {
		tool := g.deployment.Tools[g.rand.IntN(len(g.deployment.Tools))]
		pause := g.drawDuration(kind.Pause).Milliseconds()
		steps = append(steps, fmt.Sprintf(`tool %s {"pause_ms": %d}`, tool, pause))
	}
	if g.rand.Float64() < kind.AgentProbability {
		task := filler(subject+"task", g.drawTokens(kind.Task, kind.Spread)) + fmt.Sprintf("\nplan: answer %d", g.drawTokens(kind.Answer, 0.3))
		quoted, _ := json.Marshal(task)
		steps = append(steps, "agent "+string(quoted))
	}
	steps = append(steps, fmt.Sprintf("answer %d", g.drawTokens(kind.Answer, 0.5)))
	return strings.Join(steps, "; ")
}

// drawKind draws a kind with its share as the probability.
func (g *generator) drawKind() Kind {
	draw := g.rand.Float64()
	for _, k := range g.deployment.Kinds {
		if draw -= k.Share; draw < 0 {
			return k
		}
	}
	// Reached only if the shares add up to slightly less than 1 by rounding.
	return g.deployment.Kinds[len(g.deployment.Kinds)-1]
}

// drawOrganisation draws the number of an organisation from a Zipf distribution.
func (g *generator) drawOrganisation() int {
	total := 0.0
	for _, w := range g.weights {
		total += w
	}
	draw := g.rand.Float64() * total
	for i, w := range g.weights {
		if draw -= w; draw < 0 {
			return i
		}
	}
	return 0 // only by rounding
}

// drawBetween draws a number between the bounds, both included.
func (g *generator) drawBetween(bounds [2]int) int {
	return bounds[0] + g.rand.IntN(bounds[1]-bounds[0]+1)
}

// maxSizeFactor bounds a drawn size or duration as a multiple of the median.
const maxSizeFactor = 5

// drawTokens draws a length in tokens with the given median. spread is the standard deviation of
// its logarithm.
func (g *generator) drawTokens(median int, spread float64) int {
	factor := math.Exp(g.rand.NormFloat64() * spread)
	return max(1, int(float64(median)*min(factor, maxSizeFactor)))
}

// drawDuration draws a duration with the given median.
func (g *generator) drawDuration(median time.Duration) time.Duration {
	const spread = 0.6
	factor := math.Exp(g.rand.NormFloat64() * spread)
	return time.Duration(float64(median) * min(factor, maxSizeFactor))
}
