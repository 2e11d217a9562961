package experiment

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"otterspring/internal/faultinjection"
)

// InstanceHost returns the number of the host that an instance runs on. Hosts are numbered from 1.
// The result is 0 in a world without hosts.
func (s *Spec) InstanceHost(instance int) int {
	if s.World.Hosts == 0 {
		return 0
	}
	return instance%s.World.Hosts + 1
}

// drawProcesses returns the names of the processes that a selector selects. The selector "zone N"
// selects all hosts of the zone N.
func (s *Spec) drawProcesses(selector ProcessSelector, rng *rand.Rand) []string {
	words := strings.Fields(selector.Text)
	if len(words) == 0 {
		return nil
	}
	if words[0] == "zone" {
		var all []string
		for h := range s.World.Hosts {
			if h%s.World.Zones+1 == atoi(words[1]) {
				all = append(all, fmt.Sprintf("h%d", h+1))
			}
		}
		return all
	}
	if words[0] == "owner" || words[0] == "leader" || words[0] == "lister" {
		return words // the role is resolved to a process when the fault begins
	}
	letter := byte(0)
	if len(words) == 2 {
		letter = processLetters[words[1]]
	}
	if letter == 0 {
		return words
	}
	n := s.World.Hosts
	switch letter {
	case 'n':
		n = s.World.Instances
	case 'm':
		n = s.World.Coordination.Members
	}
	count := n
	if words[0] != "all" {
		count = min(n, atoi(words[0]))
	}
	chosen := rng.Perm(n)[:count]
	slices.Sort(chosen)
	var all []string
	for _, i := range chosen {
		all = append(all, fmt.Sprintf("%c%d", letter, i+1))
	}
	return all
}

// NemesisGenerators has a function for each kind of fault that the nemesis can draw. The function
// draws all keys of the fault except its start and its duration.
var NemesisGenerators = map[string]func(s *Spec, f *Fault, rng *rand.Rand){
	"stop":        func(s *Spec, f *Fault, rng *rand.Rand) { s.drawProcess(f, rng, "nfh") },
	"sigkill":     func(s *Spec, f *Fault, rng *rand.Rand) { s.drawProcess(f, rng, "nf") },
	"host-down":   func(s *Spec, f *Fault, rng *rand.Rand) { s.drawProcess(f, rng, "h") },
	"kill-at":     func(s *Spec, f *Fault, rng *rand.Rand) { s.drawPoint(f, rng) },
	"stop-at":     func(s *Spec, f *Fault, rng *rand.Rand) { s.drawPoint(f, rng) },
	"never-ready": func(s *Spec, f *Fault, rng *rand.Rand) { s.drawProcess(f, rng, "n") },
	"starve": func(s *Spec, f *Fault, rng *rand.Rand) {
		s.drawProcess(f, rng, "nf")
		f.CPUShare = 0.1
	},
	"descriptors": func(s *Spec, f *Fault, rng *rand.Rand) { s.drawProcess(f, rng, "nf") },
	"clock": func(s *Spec, f *Fault, rng *rand.Rand) {
		s.drawProcess(f, rng, "nf")
		switch rng.IntN(3) {
		case 0:
			f.ClockShift = -time.Hour
		case 1:
			f.ClockShift = 24 * time.Hour
		default:
			f.ClockDrift = 0.01
		}
	},
	"disk": func(s *Spec, f *Fault, rng *rand.Rand) {
		s.drawProcess(f, rng, "nf")
		f.DiskFault = []string{"enospc", "eio-write", "eio-sync", "eio-rename", "torn", "gone", "read-only"}[rng.IntN(7)]
	},
	"way-cut": func(s *Spec, f *Fault, rng *rand.Rand) {
		s.drawPeer(f, rng)
		f.Direction = []string{"to", "from", "both"}[rng.IntN(3)]
		f.HeldData = []string{"deliver", "drop"}[rng.IntN(2)]
	},
	"way-slow": func(s *Spec, f *Fault, rng *rand.Rand) {
		s.drawPeer(f, rng)
		f.Delay = time.Duration(20+rng.IntN(200)) * time.Millisecond
	},
	"way-reset": func(s *Spec, f *Fault, rng *rand.Rand) {
		s.drawPeer(f, rng)
		f.Chance = 0.1 + 0.1*float64(rng.IntN(5))
	},
	"way-half-open": func(s *Spec, f *Fault, rng *rand.Rand) { s.drawPeer(f, rng) },
	"order": func(s *Spec, f *Fault, rng *rand.Rand) {
		s.drawProcess(f, rng, "f")
		f.Operation = []string{"restart", "restart", "reload"}[rng.IntN(3)]
	},
	"cut-off": func(s *Spec, f *Fault, rng *rand.Rand) {
		s.drawProcess(f, rng, "fm")
		var to []string
		for m := range s.World.Coordination.Members {
			if rng.IntN(2) == 0 {
				to = append(to, fmt.Sprintf("m%d", m+1))
			}
		}
		f.BlockedPeers = ProcessSelector{strings.Join(append(to, fmt.Sprintf("f%d", 1+rng.IntN(s.World.Hosts))), " ")}
	},
	"list-lag":  func(s *Spec, f *Fault, rng *rand.Rand) { f.Delay = time.Duration(2+rng.IntN(8)) * time.Second },
	"list-down": func(*Spec, *Fault, *rand.Rand) {},
	"hang": func(s *Spec, f *Fault, rng *rand.Rand) {
		f.Servers = Selector{fmt.Sprintf("s%d", 1+rng.IntN(s.World.Servers))}
	},
	"crash": func(s *Spec, f *Fault, rng *rand.Rand) {
		f.Servers = Selector{fmt.Sprintf("s%d", 1+rng.IntN(s.World.Servers))}
	},
	"drain": func(s *Spec, f *Fault, rng *rand.Rand) {
		f.Servers = Selector{fmt.Sprintf("s%d", 1+rng.IntN(s.World.Servers))}
	},
	"partition": func(s *Spec, f *Fault, rng *rand.Rand) {
		f.Servers, f.Instances = Selector{fmt.Sprintf("s%d", 1+rng.IntN(s.World.Servers))}, Selector{fmt.Sprintf("n%d", 1+rng.IntN(s.World.Instances))}
		f.Direction = []string{"to", "from", "both"}[rng.IntN(3)]
	},
}

// drawProcess draws one process whose name begins with one of letters. If letters has several
// letters and the world has a coordination cluster, members of the cluster can be drawn as well.
func (s *Spec) drawProcess(f *Fault, rng *rand.Rand, letters string) {
	if s.World.Coordination.Members > 0 && letters != "n" && letters != "h" && letters != "f" {
		letters += "m"
	}
	letter := letters[rng.IntN(len(letters))]
	n := s.World.Hosts
	switch letter {
	case 'n':
		n = s.World.Instances
	case 'm':
		n = s.World.Coordination.Members
	}
	f.Processes = ProcessSelector{fmt.Sprintf("%c%d", letter, 1+rng.IntN(n))}
}

// drawPeer draws a sidecar and a peer. The fault affects the link between them.
func (s *Spec) drawPeer(f *Fault, rng *rand.Rand) {
	s.drawProcess(f, rng, "n")
	f.Peer = []string{"clients", "discovery"}[rng.IntN(2)]
}

// drawPoint draws a fault injection point that processes of this world reach in their code, and a
// process that reaches the point.
func (s *Spec) drawPoint(f *Fault, rng *rand.Rand) {
	var points []string
	for name := range faultinjection.Points {
		if strings.HasPrefix(name, "list-") && !s.World.Coordination.EndpointList {
			continue
		}
		coordinated := strings.HasPrefix(name, "council-") || strings.HasPrefix(name, "owner-") || name == "fleet-takes-order"
		if (s.World.Supervisor.Mode == "handover" || !strings.HasPrefix(name, "handover-")) && (s.World.Coordination.Members > 0 || !coordinated) {
			points = append(points, name)
		}
	}
	slices.Sort(points)
	f.Point = points[rng.IntN(len(points))]
	letters := "n"
	switch {
	case strings.HasPrefix(f.Point, "fleet-"), strings.HasPrefix(f.Point, "owner-"), strings.HasPrefix(f.Point, "list-"):
		letters = "f"
	case strings.HasPrefix(f.Point, "council-"):
		letters = "m"
	}
	s.drawProcess(f, rng, letters)
}

// WithNemesisFaults returns a copy of the spec with the faults that the nemesis draws from seed.
// The processes and times of the added faults are fixed, and the copy draws no further faults. If
// the nemesis draws no faults, WithNemesisFaults returns s itself.
func (s *Spec) WithNemesisFaults(seed uint64) *Spec {
	n := &s.Nemesis
	if n.Faults == 0 {
		return s
	}
	c := s.clone()
	rng := rand.New(rand.NewPCG(seed, 0x6e656d65736973))
	latestStart := n.LatestStart.In(s.Duration)
	for range n.Faults {
		f := Fault{Kind: n.Kinds[rng.IntN(len(n.Kinds))]}
		const granularity = 10 * time.Millisecond
		at := time.Duration(rng.Int64N(int64(max(latestStart, granularity)))) / granularity * granularity
		f.At = RelativeTime{Time: at, set: true}
		duration := n.MinDuration + time.Duration(rng.Int64N(int64(n.MaxDuration-n.MinDuration+granularity)))/granularity*granularity
		if FaultKinds[f.Kind].HasDuration {
			f.Duration = RelativeTime{Time: min(duration, s.Duration-at), set: true}
		}
		NemesisGenerators[f.Kind](&c, &f, rng)
		c.Faults = append(c.Faults, f)
	}
	c.Nemesis.Faults = 0
	return &c
}

// TOML returns the fault in the format of an experiment file.
func (f *Fault) TOML() string {
	var b strings.Builder
	fmt.Fprintf(&b, "[[fault]]\nkind = %q\n", f.Kind)
	text := func(key, value string) {
		if value != "" {
			fmt.Fprintf(&b, "%s = %q\n", key, value)
		}
	}
	relativeTime := func(key string, m RelativeTime) {
		switch {
		case !m.set:
		case m.Time > 0 || m.Share == 0:
			text(key, m.Time.String())
		default:
			text(key, fmt.Sprintf("%g%%", 100*m.Share))
		}
	}
	number := func(key string, v float64) {
		if v != 0 {
			fmt.Fprintf(&b, "%s = %v\n", key, v)
		}
	}
	duration := func(key string, d time.Duration) {
		if d != 0 {
			text(key, d.String())
		}
	}
	relativeTime("at", f.At)
	relativeTime("for", f.Duration)
	text("servers", f.Servers.Text)
	text("instances", f.Instances.Text)
	text("processes", f.Processes.Text)
	number("chance", f.Chance)
	number("factor", f.Factor)
	number("count", float64(f.Count))
	duration("late", f.Delay)
	if f.NewAddress {
		b.WriteString("move = true\n")
	}
	text("way", f.Direction)
	text("point", f.Point)
	duration("shift", f.ClockShift)
	number("drift", f.ClockDrift)
	text("disk", f.DiskFault)
	number("share", f.CPUShare)
	text("peer", f.Peer)
	text("held", f.HeldData)
	text("order", f.Operation)
	text("to", f.BlockedPeers.Text)
	text("program", f.Program)
	text("until", f.ResumeAfter)
	return b.String()
}
