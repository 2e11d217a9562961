package balance

import "time"

// Status says how an attempt ended.
type Status int

// The outcomes of an attempt. AtCapacity, ConnectFailed, NeverSent and PartialWrite
// prove that it was not executed.
const (
	OK Status = iota
	Error
	AtCapacity
	Timeout
	ConnectFailed
	Reset
	Cancelled
	NeverSent
	PartialWrite // the connection broke before the request's last byte was written
	statusCount
)

// provablyNotExecuted tells whether a status proves that no server executed the attempt.
func (s Status) provablyNotExecuted() bool {
	return s == AtCapacity || s == ConnectFailed || s == NeverSent || s == PartialWrite
}

// ActionKind says what the caller has to do.
type ActionKind int

// The actions. Each request gets a Send that ends well, a Reject or a Fail.
const (
	Send      ActionKind = iota // start an attempt of Request at Server, with Wait as its timeout
	Reject                      // final answer: not executed or safe to retry, after Wait if that is set
	Fail                        // final answer: it may have been executed
	Cancel                      // stop waiting for attempt Number of Request
	Timer                       // call Balancer.Timer with Token after Wait
	Subscribe                   // ask for the endpoint list and its changes
	CloseIdle                   // close the idle connections to Server
)

// Action is one thing for the caller to do. Actions are carried out in the order given.
type Action struct {
	Kind         ActionKind
	Request      string
	Server       string
	Number       int           // of the attempt, from 0
	Wait         time.Duration // its meaning depends on Kind
	SendDeadline time.Duration // from now; the attempt is abandoned if its last byte is not written by then
	Token        uint64
}

// Request is a client's request as it arrives.
type Request struct {
	ID       string
	Class    string
	Tenant   string
	Key      string
	Deadline time.Duration // clock time until which the client waits
	Work     time.Duration // expected work, 0 where unknown
	IsRetry  bool          // the client sends again what failed before
}

// Outcome is the end of one attempt.
type Outcome struct {
	Request string
	Number  int
	Status  Status
	Took    time.Duration
	Final   bool // the request is finished, whatever the status
}
