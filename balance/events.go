package balance

import "time"

// Status is the result of an attempt.
type Status int

// The results of an attempt. AtCapacity, ConnectFailed, NeverSent and PartialWrite prove that the attempt was not
// executed.
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

// provablyNotExecuted reports whether the status proves that the attempt was not executed.
func (s Status) provablyNotExecuted() bool {
	return s == AtCapacity || s == ConnectFailed || s == NeverSent || s == PartialWrite
}

// ActionKind is the kind of an Action.
type ActionKind int

// The kinds of action. Each request is completed by a successful Send, a Reject or a Fail.
const (
	Send      ActionKind = iota // send an attempt of Request to Server, with Wait as its timeout
	Reject                      // final answer: not executed or safe to retry; Wait is the Retry-After, 0 for none
	Fail                        // final answer: the request may have been executed
	Cancel                      // cancel attempt Number of Request
	Timer                       // call Balancer.Timer with Token after Wait
	Subscribe                   // subscribe to the endpoint list
	CloseIdle                   // close the idle connections to Server
)

// Action is an operation that the caller executes. Actions are executed in the order in which they are returned.
type Action struct {
	Kind         ActionKind
	Request      string
	Server       string
	Number       int           // attempt number, from 0
	Wait         time.Duration // meaning depends on Kind
	SendDeadline time.Duration // time within which the last byte must be written; otherwise the attempt is abandoned
	Token        uint64
}

// Request describes a client request on arrival.
type Request struct {
	ID       string
	Class    string
	Tenant   string
	Key      string
	Deadline time.Duration // clock time at which the client stops waiting
	Work     time.Duration // expected processing time, 0 if unknown
	IsRetry  bool          // whether the client sent this request as a retry of a failed request
}

// Outcome describes the end of an attempt.
type Outcome struct {
	Request string
	Number  int
	Status  Status
	Took    time.Duration
	Final   bool // the request is complete regardless of Status
}
