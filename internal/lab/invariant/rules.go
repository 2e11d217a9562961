package invariant

import "time"

// Rules are the limits of the rules that a Checker checks.
type Rules struct {
	// DrainGrace is a period that begins with the notification of an instance that a server is
	// draining. Within the period, the instance may still begin attempts to the server.
	DrainGrace        time.Duration `json:"Grace"`
	Tolerance         time.Duration `json:"Slack"`     // added to every time limit, to allow for delays of sockets
	NotificationBound time.Duration `json:"ToldAfter"` // an instance counts as notified this long after a change
	// OverloadMultiple is the multiple of a server's capacity beyond which work overloads the
	// server while it is warming up.
	OverloadMultiple float64       `json:"TipMultiple"`
	OverloadWindow   time.Duration `json:"TipFor"` // period over which the work is summed
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
