// Package nemesis minimizes a schedule of faults that reproduces a failure. It has no
// side effects: the caller runs each candidate and reports whether it fails.
package nemesis

import (
	"fmt"
	"strings"
	"time"

	"otterspring/internal/lab/experiment"
)

// Schedule is the part of an experiment that Shrink minimizes, with the length of the
// experiment.
type Schedule struct {
	Faults    []experiment.Fault
	Instances int
	Duration  time.Duration
}

// ScheduleOf returns the schedule of an experiment whose random faults have been drawn.
func ScheduleOf(s *experiment.Spec) Schedule {
	return Schedule{Faults: s.Faults, Instances: s.World.Instances, Duration: s.Duration}
}

// minFaultDuration is the shortest duration to which Shrink shortens a fault.
const minFaultDuration = 100 * time.Millisecond

// Shrink minimizes a schedule. It keeps each smaller schedule for which fails returns true. It
// calls fails at most maxRuns times and returns the number of calls.
//
// The step that makes a schedule easiest to understand comes first. Shrink first removes
// faults by delta debugging (Zeller's ddmin), which starts with halves of the list of faults.
// It then halves the durations of the faults, and finally the number of instances. The parameter
// hosts is the number of hosts. At least one instance per host remains.
func Shrink(s Schedule, hosts, maxRuns int, fails func(Schedule) bool) (Schedule, int) {
	runs := 0
	try := func(c Schedule) bool {
		if runs >= maxRuns {
			return false
		}
		runs++
		return fails(c)
	}
	s = removeFaults(s, try)
	for i := range s.Faults {
		for {
			f := s.Faults[i]
			half := f.Duration.In(s.Duration) / 2 / time.Millisecond * time.Millisecond
			if half < minFaultDuration {
				break
			}
			c := s
			c.Faults = append([]experiment.Fault(nil), s.Faults...)
			c.Faults[i].Duration.Share, c.Faults[i].Duration.Time = 0, half
			if !try(c) {
				break
			}
			s = c
		}
	}
	for s.Instances/2 >= max(hosts, maxInstanceNumber(s.Faults)) {
		c := s
		c.Instances = s.Instances / 2
		if !try(c) {
			break
		}
		s = c
	}
	return s, runs
}

// removeFaults reduces the faults by ddmin. It divides the list of faults into parts, and
// tries each part alone and the list without that part. If none of these schedules fails, it
// repeats this with smaller parts.
func removeFaults(s Schedule, try func(Schedule) bool) Schedule {
	for parts := 2; len(s.Faults) > 1; {
		size := (len(s.Faults) + parts - 1) / parts
		reduced := false
		for from := 0; from < len(s.Faults) && !reduced; from += size {
			to := min(from+size, len(s.Faults))
			for _, keep := range [][]experiment.Fault{s.Faults[from:to], append(append([]experiment.Fault(nil), s.Faults[:from]...), s.Faults[to:]...)} {
				if len(keep) == 0 || len(keep) == len(s.Faults) {
					continue
				}
				c := s
				c.Faults = append([]experiment.Fault(nil), keep...)
				if try(c) {
					s, reduced = c, true
					break
				}
			}
		}
		switch {
		case reduced:
			parts = 2
		case parts >= len(s.Faults):
			return s
		default:
			parts = min(2*parts, len(s.Faults))
		}
	}
	return s
}

// maxInstanceNumber returns the largest number of an instance that a fault refers to. It
// returns 1 if no fault refers to an instance.
func maxInstanceNumber(faults []experiment.Fault) int {
	largest := 1
	for _, f := range faults {
		for _, w := range append(strings.Fields(f.Processes.Text), strings.Fields(f.Instances.Text)...) {
			n := 0
			if _, err := fmt.Sscanf(w, "n%d", &n); err == nil {
				largest = max(largest, n)
			}
		}
	}
	return largest
}

// Render returns the text of an experiment file with the faults of the schedule. These faults
// replace the faults that the file lists and the section [nemesis], which sets the faults to draw.
// The returned text therefore reproduces the schedule with any seed. The parameter about replaces
// the description of the experiment.
func Render(file string, s Schedule, about string) string {
	var out []string
	skipping := false
	for _, line := range strings.Split(strings.TrimRight(file, "\n"), "\n") {
		head := strings.TrimSpace(line)
		if strings.HasPrefix(head, "[") {
			skipping = head == "[[fault]]" || head == "[nemesis]"
		}
		if skipping {
			continue
		}
		key, _, _ := strings.Cut(head, "=")
		switch strings.TrimSpace(key) {
		case "about":
			line = fmt.Sprintf("about = %q", about)
		case "instances":
			line = fmt.Sprintf("instances = %d", s.Instances)
		case "for":
			line = fmt.Sprintf("for = %q", s.Duration)
		case "short":
			continue // the key "short" overrides settings of the original file
		}
		out = append(out, line)
	}
	text := strings.TrimRight(strings.Join(out, "\n"), "\n") + "\n"
	for i := range s.Faults {
		text += "\n" + s.Faults[i].TOML()
	}
	return text
}
