package faulttrial

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/buckthornroute/buckthornroute/internal/platform"
	"github.com/buckthornroute/buckthornroute/internal/standin"
	"github.com/buckthornroute/buckthornroute/structs"
	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
)

const (
	entryCount       = 3
	modelCount       = 3
	applicationCount = 2
	// startTimeout bounds the start of all processes and the restart of one.
	startTimeout = 20 * time.Second
	// vmListLag is the delay with which the platform's VM list shows a change.
	vmListLag = 2 * time.Second
	// engineTimeScale scales the times of the stand-in engines: they are twice as fast as
	// the real ones that they model.
	engineTimeScale = 0.5
)

// domains has the failure domains. The ith entry, model engine and application engine are in
// the ith domain.
var domains = []structs.FailureDomain{"a", "b", "c"}

// cluster is one deployment: the stand-ins run in this process, each entry and each side
// as a process of its own.
type cluster struct {
	dir      string // of the settings and logs
	binaries string // directory of the built programs
	standins *standin.Group
	entries  []*process
	sides    []*process
}

// newCluster starts a deployment with its settings and logs in dir.
func newCluster(ctx context.Context, binaries, dir string) (*cluster, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, errors.Wrap(err, "trial directory")
	}
	group, err := standin.Start(standinConfig())
	if err != nil {
		return nil, err
	}
	c := &cluster{dir: dir, binaries: binaries, standins: group}
	if err := c.configure(); err != nil {
		c.close()
		return nil, err
	}
	if err := c.start(ctx); err != nil {
		c.close()
		return nil, err
	}
	return c, nil
}

func standinConfig() standin.Config {
	const anyPort = "127.0.0.1:0"
	config := standin.Config{
		TimeScale: engineTimeScale,
		Platform: &standin.PlatformConfig{
			Listen:          anyPort,
			WritesPerSecond: 400,
			ReadsPerSecond:  2000,
			VMLag:           structs.Duration(vmListLag),
		},
		Tools: []standin.ServiceConfig{{Name: "tools", Listen: anyPort, TimeScale: 1}},
	}
	for i := range entryCount {
		config.Platform.VMs = append(config.Platform.VMs, platform.VMChange{ID: entryVM(i), Domain: domains[i]})
	}
	for i := range modelCount {
		vm := structs.VMID(fmt.Sprintf("vm-m%d", i+1))
		config.Platform.VMs = append(config.Platform.VMs, platform.VMChange{ID: vm, Domain: domains[i]})
		config.Models = append(config.Models, standin.ModelConfig{
			Name:   fmt.Sprintf("m%d", i+1),
			Listen: anyPort,
			VM:     vm,
			Domain: domains[i],
			Models: []string{modelName},
		})
	}
	for i := range applicationCount {
		vm := structs.VMID(fmt.Sprintf("vm-app%d", i+1))
		config.Platform.VMs = append(config.Platform.VMs, platform.VMChange{ID: vm, Domain: domains[i]})
		config.Applications = append(config.Applications, standin.ServiceConfig{
			Name:      fmt.Sprintf("app%d", i+1),
			Listen:    anyPort,
			VM:        vm,
			Domain:    domains[i],
			TimeScale: 1,
		})
	}
	return config
}

func entryVM(i int) structs.VMID { return structs.VMID(fmt.Sprintf("vm-e%d", i+1)) }

// configure writes the settings of every process and creates the processes.
func (c *cluster) configure() error {
	sides, err := c.configureSides()
	if err != nil {
		return err
	}
	entries := make([]entrySettings, entryCount)
	for i := range entries {
		e := &entries[i]
		e.Node, e.VM, e.Domain = fmt.Sprintf("e%d", i+1), string(entryVM(i)), string(domains[i])
		e.Platform, e.Tools = c.standins.Addresses()["platform"], c.standins.Addresses()["tools"]
		e.Sides, e.ToolTimeout = sides, toolTimeout
		if e.Peer, err = freeAddress(); err != nil {
			return err
		}
		if e.HTTP, err = freeAddress(); err != nil {
			return err
		}
	}
	for i := range entries {
		for j := range entries {
			if i != j {
				entries[i].Peers = append(entries[i].Peers, entries[j].Peer)
			}
		}
		p, err := c.newProcess(entries[i].Node, "buckthorn-entry", entries[i].HTTP)
		if err != nil {
			return err
		}
		if p.settings, err = writeSettings(c.dir, p.name, entryTemplate, entries[i]); err != nil {
			return err
		}
		c.entries = append(c.entries, p)
	}
	return nil
}

// configureSides writes the settings of the sides and creates their processes. It returns
// the settings, from which the entries take the addresses of the sides.
func (c *cluster) configureSides() ([]upstreamSettings, error) {
	addresses := c.standins.Addresses()
	var sides []upstreamSettings
	add := func(id string, kind structs.UpstreamKind, domain structs.FailureDomain) {
		sides = append(sides, upstreamSettings{
			ID: id, Kind: string(kind), URL: addresses[id], VM: "vm-" + id, Domain: string(domain),
			Platform: addresses["platform"],
		})
	}
	for i := range modelCount {
		add(fmt.Sprintf("m%d", i+1), structs.KindModel, domains[i])
	}
	for i := range applicationCount {
		add(fmt.Sprintf("app%d", i+1), structs.KindApplication, domains[i])
	}
	for i := range sides {
		s := &sides[i]
		var err error
		if s.Peer, err = freeAddress(); err != nil {
			return nil, err
		}
		if s.HTTP, err = freeAddress(); err != nil {
			return nil, err
		}
		p, err := c.newProcess("side-"+s.ID, "buckthorn-side", s.HTTP)
		if err != nil {
			return nil, err
		}
		if p.settings, err = writeSettings(c.dir, p.name, sideTemplate, *s); err != nil {
			return nil, err
		}
		c.sides = append(c.sides, p)
	}
	return sides, nil
}

// newProcess returns a process that is not started and has no settings yet.
func (c *cluster) newProcess(name, program, httpAddr string) (*process, error) {
	binary, err := filepath.Abs(filepath.Join(c.binaries, program))
	if err != nil {
		return nil, errors.Wrapf(err, "path of %s", program)
	}
	return &process{name: name, binary: binary, logPath: filepath.Join(c.dir, name+".log"), httpAddr: httpAddr}, nil
}

func (c *cluster) processes() []*process {
	return append(append([]*process{}, c.sides...), c.entries...)
}

// start starts every process and waits until all entries are ready. It does not wait for the
// sides.
func (c *cluster) start(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for _, p := range c.processes() {
		if err := p.start(); err != nil {
			return err
		}
	}
	var waiting errgroup.Group
	for _, p := range c.entries {
		waiting.Go(func() error { return p.waitReady(ctx) })
	}
	return waiting.Wait()
}

// restart starts a process that has exited and waits until it is ready.
func (c *cluster) restart(ctx context.Context, p *process) error {
	if err := p.start(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	return p.waitReady(ctx)
}

func (c *cluster) close() {
	for _, p := range c.processes() {
		p.kill()
	}
	c.standins.Close()
}
