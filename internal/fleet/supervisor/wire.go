package supervisor

import (
	"encoding/json"
	"time"

	"otterspring/internal/fleet/coordination"
	"otterspring/internal/fleet/rollout"
)

// Names that other programs and other versions use. They must not change.

const (
	// hostCommandPath is where a supervisor serves commands of leaders.
	hostCommandPath = "/v1/effect"
	// endpointListPath is where discovery and the local proxy serve the endpoint list.
	endpointListPath = "/discovery/hosts"
	// endpointListSourceHeader is a header in the local proxy's responses. Its value is the
	// name of the discovery service that assigned the list's version.
	endpointListSourceHeader = "X-List-Source"

	// RolloutLease is the lease whose holder leads rolling restarts across all hosts.
	RolloutLease = "roll"
	// endpointListLeasePrefix, followed by the name of a zone, is the lease whose holder
	// relays the endpoint list to the hosts of that zone.
	endpointListLeasePrefix = "list:"
)

// savedProcess is an entry of the state file: a process of an instance, or the last
// operation of an instance without a process.
type savedProcess struct {
	Name      string `json:"name"`
	Listen    string `json:"listen"`
	PID       int    `json:"pid"` // 0 if there is no process
	StartTime string `json:"start"`
	// Operation is the operation that the instance was last restarted or reloaded for. The
	// environment of a process also contains an operation, but it is lost with the process.
	Operation string `json:"order,omitempty"`
	// Program is the executable of the process, or the executable of the next process if
	// there is no process.
	Program string `json:"program,omitempty"`
}

// commandKind is the kind of a leader's command.
type commandKind string

const (
	commandStatus  commandKind = "look"    // report the host's status
	commandRestart commandKind = "restart" // restart one instance
	commandReload  commandKind = "reload"  // reload one instance
	commandList    commandKind = "list"    // apply an update of the endpoint list
)

// hostCommand is a command that a leader sends to a host. It carries the leader's fencing
// token.
type hostCommand struct {
	Lease     string                    `json:"duty"`
	Holder    string                    `json:"owner"`
	Token     coordination.FencingToken `json:"epoch"`
	Kind      commandKind               `json:"do"`
	Instance  string                    `json:"instance,omitempty"`
	Operation string                    `json:"order,omitempty"`
	Program   string                    `json:"program,omitempty"`
	List      *listPush                 `json:"list,omitempty"`
}

// hostResponse is the response to a hostCommand.
type hostResponse struct {
	Rejected      string             `json:"refused,omitempty"` // reason; empty if the command was accepted
	Host          rollout.HostStatus `json:"host"`
	ListVersion   int64              `json:"index,omitempty"` // version of the cached endpoint list
	StaleCommands int                `json:"late"`            // number of commands rejected by the fence since the start
}

// listPush is an update of the endpoint list that the lease holder sends to a host. A push
// without changes is only a heartbeat.
type listPush struct {
	Source      string          `json:"source"`
	From        int64           `json:"from"` // version that the update starts from; 0 for a snapshot
	Text        json.RawMessage `json:"text"`
	LeaderFresh bool            `json:"fresh"` // whether the leader's own cache is fresh
	// AgeMillis is the time since discovery last confirmed the list to the leader. It is 0 if
	// the leader runs an earlier version, which does not send the age.
	AgeMillis int64 `json:"age_ms,omitempty"`
}

// age returns the time since discovery last confirmed the list to the leader.
func (p *listPush) age() time.Duration { return time.Duration(max(0, p.AgeMillis)) * time.Millisecond }

// hostRecord is the record of a host in the coordination cluster.
type hostRecord struct {
	Zone      string `json:"zone"`
	Address   string `json:"address"` // address at which the supervisor receives commands
	Instances int    `json:"instances"`
	Program   string `json:"program"`
}

// endpointListLease returns the name of the lease of a zone's endpoint list.
func endpointListLease(zone string) string { return endpointListLeasePrefix + zone }
