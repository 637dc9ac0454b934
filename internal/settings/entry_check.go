package settings

import (
	"strconv"

	"github.com/buckthornroute/buckthornroute/structs"
)

const (
	// defaultCallTimeoutSeconds is the default of the key timeout of tools and services.
	defaultCallTimeoutSeconds = 30
	// defaultTurnTimeoutSeconds is the default turn timeout of a preset, and
	// defaultHoldSeconds the default of its hold_max.
	defaultTurnTimeoutSeconds = 60
	defaultHoldSeconds        = 20
	// defaultMaxQueue is the default of max_queue, in calls.
	defaultMaxQueue = 64
	// minTokenBytes is the minimum length of a bearer token; a shorter one could be guessed.
	minTokenBytes = 16
)

func defaultEntry() *Entry {
	return &Entry{
		Budget: Budget{Tokens: 2_000_000, Calls: 400, ToolTime: seconds(600), Depth: 3, Agents: 32},
		Limits: Limits{BodyBytes: 4 << 20, HistoryTokens: 400_000, RingSize: 1024, OpenPrograms: 4000},
		HomeLog: HomeLog{
			CommitMinInterval:   milliseconds(5),
			WriteSharePerSecond: 200,
			CheckpointEvery:     256,
			InlineBytes:         64 << 10,
		},
		PresetSpread:  PresetSpread{PollInterval: milliseconds(250), Pollers: 3, CutOffAfter: seconds(2)},
		Membership:    Membership{Heartbeat: milliseconds(200), Suspicion: seconds(1), VMListInterval: seconds(1)},
		ShutdownGrace: seconds(30),
		Telemetry:     defaultTelemetry(),
		Log:           defaultLog(),
	}
}

// setDefaults sets the defaults that depend on other keys and those of list elements.
func (s *Entry) setDefaults() {
	if s.AdvertisePeer == "" {
		s.AdvertisePeer = s.ListenPeer
	}
	for i := range s.Tools {
		if s.Tools[i].Timeout == 0 {
			s.Tools[i].Timeout = seconds(defaultCallTimeoutSeconds)
		}
	}
	for i := range s.Services {
		if s.Services[i].Kind == "" {
			s.Services[i].Kind = structs.KindApplication
		}
		if s.Services[i].Timeout == 0 {
			s.Services[i].Timeout = seconds(defaultCallTimeoutSeconds)
		}
	}
	for i := range s.Presets {
		setPresetDefaults(&s.Presets[i])
	}
}

// setPresetDefaults sets the keys of a preset that are absent: policy "cost", max_queue 64
// and hold_max 20s. In the table patience, which has the turn timeouts by program kind, it
// sets the key DefaultProgramKind to 60s.
func setPresetDefaults(p *structs.Preset) {
	if p.Policy == "" {
		p.Policy = "cost"
	}
	if p.MaxQueue == 0 {
		p.MaxQueue = defaultMaxQueue
	}
	if p.HoldMax == 0 {
		p.HoldMax = seconds(defaultHoldSeconds)
	}
	if p.TurnTimeouts == nil {
		p.TurnTimeouts = make(map[string]structs.Duration)
	}
	if _, found := p.TurnTimeouts[DefaultProgramKind]; !found {
		p.TurnTimeouts[DefaultProgramKind] = seconds(defaultTurnTimeoutSeconds)
	}
}

// DefaultProgramKind is the key of a preset's turn timeout for the program kinds that it does
// not list.
const DefaultProgramKind = "default"

func (s *Entry) check(c *checker) {
	c.name("node", string(s.Node))
	c.required("vm", string(s.VM))
	c.required("failure_domain", string(s.FailureDomain))
	c.required("region", s.Region)
	c.address("listen_http", s.ListenHTTP)
	c.address("listen_peer", s.ListenPeer)
	c.address("advertise_peer", s.AdvertisePeer)
	c.httpURL("platform_url", s.PlatformURL)
	s.checkPeers(c)
	s.checkSides(c)
	s.checkTools(c)
	s.checkTokens(c)
	s.checkBudget(c)
	s.checkLimits(c)
	s.checkHomeLog(c)
	s.checkPresets(c)
	s.checkTimings(c)
	s.TLS.check(c)
	s.Telemetry.check(c)
	s.Log.check(c)
}

func (s *Entry) checkPeers(c *checker) {
	seen := map[string]string{s.AdvertisePeer: "advertise_peer"} // an entry is not its own peer
	for i, p := range s.Peers {
		key := "peers[" + strconv.Itoa(i) + "]"
		c.address(key, p)
		c.unique(key, p, seen)
	}
}

func (s *Entry) checkSides(c *checker) {
	upstreams := map[string]string{}
	addresses := map[string]string{}
	for i, side := range s.Sides {
		c.name(elementKey("sides", i, "upstream"), string(side.Upstream))
		c.unique(elementKey("sides", i, "upstream"), string(side.Upstream), upstreams)
		c.kind(elementKey("sides", i, "kind"), side.Kind)
		c.address(elementKey("sides", i, "address"), side.Address)
		c.unique(elementKey("sides", i, "address"), side.Address, addresses)
		c.required(elementKey("sides", i, "vm"), string(side.VM))
		c.required(elementKey("sides", i, "failure_domain"), string(side.FailureDomain))
	}
}

// kind checks that k is a kind of upstream.
func (c *checker) kind(key string, k structs.UpstreamKind) {
	c.oneOf(key, string(k), string(structs.KindModel), string(structs.KindApplication))
}

func (s *Entry) checkTools(c *checker) {
	// No tool service may take the name of the built-in tool that starts sub-agents.
	tools := map[string]string{structs.AgentTool: "the sub-agent tool"}
	for i, t := range s.Tools {
		c.name(elementKey("tools", i, "name"), t.Name)
		c.unique(elementKey("tools", i, "name"), t.Name, tools)
		c.httpURL(elementKey("tools", i, "url"), t.URL)
		c.duration(elementKey("tools", i, "timeout"), t.Timeout)
	}
	services := map[string]string{}
	for i, v := range s.Services {
		c.name(elementKey("services", i, "name"), v.Name)
		c.unique(elementKey("services", i, "name"), v.Name, services)
		c.kind(elementKey("services", i, "kind"), v.Kind)
		c.duration(elementKey("services", i, "timeout"), v.Timeout)
	}
}

func (s *Entry) checkTokens(c *checker) {
	seen := map[string]string{}
	for i, caller := range s.Callers {
		c.token(elementKey("callers", i, "token"), caller.Token, seen)
		c.name(elementKey("callers", i, "organisation"), string(caller.Organisation))
	}
	for i, o := range s.Operators {
		c.token(elementKey("operators", i, "token"), o.Token, seen)
		c.required(elementKey("operators", i, "name"), o.Name)
	}
}

// token checks the length and uniqueness of a bearer token. Its errors never contain the token.
func (c *checker) token(key, token string, seen map[string]string) {
	if len(token) < minTokenBytes {
		c.fail(key, "is shorter than %d bytes", minTokenBytes)
	}
	if other, found := seen[token]; found {
		c.fail(key, "is the same token as %q", other)
	}
	seen[token] = key
}

func (s *Entry) checkBudget(c *checker) {
	c.positive("budget.tokens", s.Budget.Tokens)
	c.positive("budget.calls", s.Budget.Calls)
	c.duration("budget.tool_time", s.Budget.ToolTime)
	if s.Budget.Depth < 0 {
		c.fail("budget.depth", "%d is below 0", s.Budget.Depth)
	}
	if s.Budget.Agents < 0 {
		c.fail("budget.agents", "%d is below 0", s.Budget.Agents)
	}
}

func (s *Entry) checkLimits(c *checker) {
	c.positive("limits.body_bytes", s.Limits.BodyBytes)
	c.positive("limits.history_tokens", s.Limits.HistoryTokens)
	c.positive("limits.open_programs", int64(s.Limits.OpenPrograms))
	c.positive("limits.ring_size", int64(s.Limits.RingSize))
}

func (s *Entry) checkHomeLog(c *checker) {
	l := s.HomeLog
	c.duration("journal.commit_min_interval", l.CommitMinInterval)
	if l.WriteSharePerSecond <= 0 {
		c.fail("journal.write_share_per_second", "%v is not above 0", l.WriteSharePerSecond)
	}
	c.positive("journal.checkpoint_every", int64(l.CheckpointEvery))
	c.positive("journal.inline_bytes", int64(l.InlineBytes))
}

func (s *Entry) checkPresets(c *checker) {
	names := map[string]string{}
	for i := range s.Presets {
		p := &s.Presets[i]
		c.unique(elementKey("preset", i, "name"), p.Name, names)
		if key, reason := CheckPreset(p); reason != "" {
			c.fail(elementKey("preset", i, key), "%s", reason)
		}
	}
	if len(s.Presets) > 0 || s.InitialPreset != "" {
		if _, found := names[s.InitialPreset]; !found {
			c.fail("initial_preset", "%q is not the name of a preset in this file", s.InitialPreset)
		}
	}
}

// CheckPreset returns the first invalid key of the preset and the reason. Both are
// empty when the preset is valid.
func CheckPreset(p *structs.Preset) (key, reason string) {
	c := &checker{}
	c.name("name", p.Name)
	if p.LatencyWeight < 0 {
		c.fail("latency_weight", "%v is below 0", p.LatencyWeight)
	}
	if p.WasteWeight < 0 {
		c.fail("waste_weight", "%v is below 0", p.WasteWeight)
	}
	if p.LatencyWeight == 0 && p.WasteWeight == 0 {
		c.fail("latency_weight", "is 0 and waste_weight is 0 too; at least one must be above 0")
	}
	for _, kind := range sortedKeys(p.TurnTimeouts) {
		c.duration("patience."+kind, p.TurnTimeouts[kind])
	}
	c.positive("max_queue", int64(p.MaxQueue))
	c.oneOf("policy", p.Policy, "cost", "round_robin", "least_load", "sticky_hash")
	c.duration("hold_max", p.HoldMax)
	if e, failed := c.err.(*Error); failed { //nolint:errorlint // fail stores this type only
		return e.Key, e.Reason
	}
	return "", ""
}

func (s *Entry) checkTimings(c *checker) {
	c.duration("preset_spread.poll_interval", s.PresetSpread.PollInterval)
	c.positive("preset_spread.pollers", int64(s.PresetSpread.Pollers))
	c.atLeast("preset_spread.cut_off_after", s.PresetSpread.CutOffAfter, "preset_spread.poll_interval", s.PresetSpread.PollInterval)
	m := s.Membership
	c.duration("membership.heartbeat", m.Heartbeat)
	c.atLeast("membership.suspicion", m.Suspicion, "twice membership.heartbeat", 2*m.Heartbeat)
	c.duration("membership.vm_list_interval", m.VMListInterval)
	c.duration("shutdown_grace", s.ShutdownGrace)
}
