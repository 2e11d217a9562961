package rollout

// Request is an operator's request for a rollout, as stored by the coordination service.
type Request struct {
	Program string `json:"program,omitempty"` // path of the program to start; empty for the running program
	// MaxConcurrent is the maximum number of unavailable instances in the fleet. Values below
	// 1 count as 1.
	MaxConcurrent int `json:"at_once"`
	// MaxConcurrentPerZone is the maximum number of unavailable instances in a zone; 0 for no
	// limit.
	MaxConcurrentPerZone int    `json:"zone_at_once"`
	Reload               bool   `json:"reload,omitempty"` // reload the configuration without starting a new process
	RequestedBy          string `json:"by,omitempty"`
}

// Checkpoint is the stored progress of a rollout, read by the next lease holder and by
// operators who wait for the result.
type Checkpoint struct {
	RolloutID  string `json:"order"`
	Completed  int    `json:"done"`
	Total      int    `json:"of"`
	WaitReason string `json:"wait,omitempty"` // why no further step was begun
	// RollingBack is set once the new program has failed. Instances that run the new program
	// return to the previous program of their host.
	RollingBack bool `json:"back,omitempty"`
	// PreviousPrograms holds the program of each host before the rollout, by host name.
	PreviousPrograms map[string]string `json:"before,omitempty"`
}

// HostStatus is the status of a host as reported by its supervisor to the lease holder.
type HostStatus struct {
	Name    string `json:"host"`
	Zone    string `json:"zone"`
	Program string `json:"program"`
	// LocalUpdate is the progress of the rolling update on this host; empty if there is none.
	LocalUpdate string           `json:"rolling,omitempty"`
	Instances   []InstanceStatus `json:"instances"`
	// Contacted reports whether the host has answered under the current fencing token.
	Contacted bool `json:"-"`
}

// InstanceStatus is the status of an instance.
type InstanceStatus struct {
	Name      string `json:"name"`
	Ready     bool   `json:"up"` // whether the instance has exactly one process, which is ready
	RolloutID string `json:"order,omitempty"`
	// FailedRolloutID is the ID of the last rollout that failed on the instance; empty once a
	// later rollout succeeds.
	FailedRolloutID string `json:"failed,omitempty"`
}

// ResultDone is the Result of a rollout that succeeded. It is stored, and the otterspring
// command compares results with it.
const ResultDone = "done"

// RollbackID returns the ID of the rollback of a rollout. Instances that the rollback has
// updated have this ID as their RolloutID.
func RollbackID(id string) string { return id + "-back" }
