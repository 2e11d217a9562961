package invariant

import "time"

// Rules are the limits that the rules are checked against.
type Rules struct {
	DrainGrace        time.Duration `json:"Grace"`       // after a notification that a server drains, attempts to it may begin for this long
	Tolerance         time.Duration `json:"Slack"`       // added to every time limit, for the delay of sockets
	NotificationBound time.Duration `json:"ToldAfter"`   // an instance counts as notified of a change after this
	OverloadMultiple  float64       `json:"TipMultiple"` // a server that warms up is overloaded by this multiple of its capacity
	OverloadWindow    time.Duration `json:"TipFor"`      // within this long
}

// DelftRules returns the limits of the site delft-calls.
func DelftRules() Rules {
	return Rules{
		DrainGrace:        500 * time.Millisecond,
		Tolerance:         50 * time.Millisecond,
		NotificationBound: 6 * time.Second,
		OverloadMultiple:  3,
		OverloadWindow:    3 * time.Second,
	}
}
