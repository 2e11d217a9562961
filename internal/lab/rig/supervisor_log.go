package rig

import (
	"regexp"
	"strconv"
	"strings"
	"time"
)

// eventKind is the kind of event that a supervisor's log line reports.
type eventKind int

const (
	otherEvent eventKind = iota
	leadershipAcquired
	leadershipEnded
	leaseHolderChanged
	commandAccepted
	commandFenced // rejected for its fencing token
	listApplied
	killDecided // the supervisor decided to kill the process
	processEnded
	supervisorSuspended
)

// supervisorEvent is the content of a supervisor's log line. Which fields are set depends on the
// kind.
type supervisorEvent struct {
	kind          eventKind
	instance      string
	command       string
	operation     string
	lease         string
	holder        string
	token         uint64
	version       string        // version of an endpoint list
	expiredFor    time.Duration // how long the lease had expired when the line was logged
	status        string        // exit code or signal of an ended process
	lastOutput    string        // end of the output of the ended process
	uninitialized bool          // the fence rejected the command because it knew no holder yet
	incomplete    bool          // the line also stands for lines that the log left out
}

// killed reports whether a process of an instance was killed, by its supervisor or by another
// process.
func (e *supervisorEvent) killed() bool {
	return e.kind == killDecided && !e.incomplete || e.kind == processEnded && strings.HasPrefix(e.status, "signal: killed")
}

// countsAsKill reports whether the figure fleet_kills counts the event. The figure counts the kills
// that a supervisor decided, and no other exit by SIGKILL.
func (e *supervisorEvent) countsAsKill() bool { return e.kind == killDecided && !e.incomplete }

// crashStatus matches the status of a process that ended by a defect of the program: a panic (2), a
// data race (66) or a fatal signal.
var crashStatus = regexp.MustCompile(`^(?:exit status (?:2|66)|signal: (?:segmentation|aborted|illegal))`)

// crashed reports whether a process ended by a defect of the program.
func (e *supervisorEvent) crashed() bool {
	return e.kind == processEnded && crashStatus.MatchString(e.status)
}

// eventKinds maps a log message to its kind.
var eventKinds = map[string]eventKind{
	"leadership acquired":                          leadershipAcquired,
	"leadership ended":                             leadershipEnded,
	"lease holder changed":                         leaseHolderChanged,
	"command accepted":                             commandAccepted,
	"command rejected by the fence":                commandFenced,
	"endpoint list applied":                        listApplied,
	"process killed":                               killDecided,
	"process ended":                                processEnded,
	"supervisor was suspended; deadlines extended": supervisorSuspended,
}

// instancePattern matches the names of a world's instances.
var instancePattern = regexp.MustCompile(`^n\d+$`)

// parseSupervisorLine parses a log line of a supervisor of this version or of an earlier version. A
// world may run both versions.
func parseSupervisorLine(line string) supervisorEvent {
	attributes := logAttributes(line)
	kind, known := eventKinds[attributes["msg"]]
	if !known {
		return parseEarlierLine(line)
	}
	event := supervisorEvent{
		kind:          kind,
		instance:      attributes["instance"],
		command:       attributes["command"],
		operation:     attributes["operation"],
		lease:         attributes["lease"],
		holder:        attributes["holder"],
		token:         parseToken(attributes["token"]),
		version:       attributes["version"],
		status:        attributes["status"],
		lastOutput:    attributes["last_output"],
		uninitialized: strings.Contains(attributes["error"], "has just started"),
		incomplete:    attributes["left_out"] != "",
	}
	switch kind {
	case killDecided, processEnded:
		if !instancePattern.MatchString(event.instance) {
			return supervisorEvent{}
		}
	case leadershipEnded:
		// Without a duration the leadership counts as ended now.
		event.expiredFor, _ = time.ParseDuration(attributes["expired_for"])
	}
	return event
}

// logAttributes parses the key=value pairs of a line that log/slog's text handler wrote.
func logAttributes(line string) map[string]string {
	attributes := map[string]string{}
	for line = strings.TrimSpace(line); line != ""; line = strings.TrimLeft(line, " ") {
		key, rest, found := strings.Cut(line, "=")
		if !found {
			break
		}
		value := rest
		if quoted, err := strconv.QuotedPrefix(rest); err == nil {
			value, rest = quoted, rest[len(quoted):]
			if value, err = strconv.Unquote(quoted); err != nil {
				break
			}
		} else {
			value, rest, _ = strings.Cut(rest, " ")
		}
		attributes[key] = value
		line = rest
	}
	return attributes
}

// parseToken parses a fencing token in its logged form "space.number". It returns 0 for an empty
// text.
func parseToken(text string) uint64 {
	space, number, _ := strings.Cut(text, ".")
	return newFencingToken(space, number)
}

// Patterns of the log lines of versions up to commit 13b1ee2. These lines have all values in the
// message.
var (
	earlierListLeadership   = regexp.MustCompile(`council: (\S+) owns (list:\S+) under epoch (\d+\.\d+)`)
	earlierListApplied      = regexp.MustCompile(`applied list version (\d+) of (\S+), epoch (\d+\.\d+)`)
	earlierRollLeadership   = regexp.MustCompile(`council: (\S+) owns (roll) under epoch (\d+\.\d+)`)
	earlierLeadershipEnded  = regexp.MustCompile(`council: \S+ ends epoch (\d+\.\d+) of (roll): .*\(over for ([0-9a-zµ.]+)\)`)
	earlierCommandAccepted  = regexp.MustCompile(`takes (restart|reload) of (\S+) for order (\S+) of (\S+), epoch (\d+\.\d+)`)
	earlierHolderChanged    = regexp.MustCompile(`hears of (roll|list:\S*): (\S+) owns it, epoch (\d+\.\d+)`)
	earlierCommandFenced    = regexp.MustCompile(`refused: (\S+) of epoch (\d+\.\d+) of (\S+): .*(?:a late owner|two councils|this receiver has just started)`)
	earlierProcessEnded     = regexp.MustCompile(`msg="(n\d+): process \d+ ended: ([^";]*)(?:; its last word: ([^"]*))?`)
	earlierKillDecided      = regexp.MustCompile(`msg="(n\d+): .*: killed"$`)
	earlierSuspendedMessage = "stood still for"
)

// parseEarlierLine parses a log line of a version up to commit 13b1ee2.
func parseEarlierLine(line string) supervisorEvent {
	if match := earlierCommandAccepted.FindStringSubmatch(line); match != nil {
		return supervisorEvent{kind: commandAccepted, command: match[1], instance: match[2], operation: match[3], holder: match[4], token: parseToken(match[5])}
	}
	for _, pattern := range []*regexp.Regexp{earlierRollLeadership, earlierListLeadership} {
		if match := pattern.FindStringSubmatch(line); match != nil {
			return supervisorEvent{kind: leadershipAcquired, holder: match[1], lease: match[2], token: parseToken(match[3])}
		}
	}
	if match := earlierLeadershipEnded.FindStringSubmatch(line); match != nil {
		expiredFor, _ := time.ParseDuration(match[3]) // without a duration the leadership counts as ended now
		return supervisorEvent{kind: leadershipEnded, token: parseToken(match[1]), lease: match[2], expiredFor: expiredFor}
	}
	if match := earlierHolderChanged.FindStringSubmatch(line); match != nil {
		return supervisorEvent{kind: leaseHolderChanged, lease: match[1], holder: match[2], token: parseToken(match[3])}
	}
	if match := earlierListApplied.FindStringSubmatch(line); match != nil {
		return supervisorEvent{kind: listApplied, version: match[1], holder: match[2], token: parseToken(match[3])}
	}
	if match := earlierCommandFenced.FindStringSubmatch(line); match != nil {
		return supervisorEvent{
			kind: commandFenced, command: match[1], token: parseToken(match[2]), holder: match[3], uninitialized: strings.Contains(line, "has just started"),
		}
	}
	if match := earlierProcessEnded.FindStringSubmatch(line); match != nil {
		return supervisorEvent{kind: processEnded, instance: match[1], status: match[2], lastOutput: match[3], incomplete: !strings.HasSuffix(line, `"`)}
	}
	if match := earlierKillDecided.FindStringSubmatch(line); match != nil {
		return supervisorEvent{kind: killDecided, instance: match[1]}
	}
	if strings.Contains(line, earlierSuspendedMessage) {
		return supervisorEvent{kind: supervisorSuspended}
	}
	return supervisorEvent{}
}
