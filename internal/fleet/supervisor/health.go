package supervisor

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	healthPath         = "/up"
	pidHeader          = "X-Pid"
	reloadsHeader      = "X-Reloads" // value "SUCCEEDED/FAILED": the numbers of reloads
	healthCheckTimeout = 2 * time.Second

	// The interval at which a process that is not ready is polled grows from
	// initialHealthPoll to maxHealthPoll.
	initialHealthPoll = 10 * time.Millisecond
	maxHealthPoll     = 200 * time.Millisecond
)

var healthClient = http.Client{
	Transport: &http.Transport{DisableKeepAlives: true},
	Timeout:   healthCheckTimeout,
}

// healthStatus is the response of an instance to a health check.
type healthStatus struct {
	pid                             int // 0 if there was no response with status 200
	reloadsSucceeded, reloadsFailed int
}

func (h healthStatus) reloads() int { return h.reloadsSucceeded + h.reloadsFailed }

// checkHealth sends a health check to an address. Any process that listens there may
// respond, including one outside the fleet.
func checkHealth(ctx context.Context, address string) healthStatus {
	response, err := getHealth(ctx, &healthClient, address)
	if err != nil {
		return healthStatus{}
	}
	response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return healthStatus{}
	}
	succeeded, failed, _ := strings.Cut(response.Header.Get(reloadsHeader), "/")
	return healthStatus{
		pid:              parseCount(response.Header.Get(pidHeader)),
		reloadsSucceeded: parseCount(succeeded),
		reloadsFailed:    parseCount(failed),
	}
}

// parseCount returns the value of a numeric header. It returns 0 if the text is not a number,
// since another program may be listening on the address and send any text.
func parseCount(text string) int {
	n, err := strconv.Atoi(text)
	if err != nil {
		return 0
	}
	return n
}

func getHealth(ctx context.Context, client *http.Client, address string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+healthPath, nil)
	if err != nil {
		return nil, err
	}
	return client.Do(request)
}

// waitUntilHealthy polls an address until accept returns true for a health status. It
// returns false if ctx ends first. The function accept also gets the status of other
// processes on the address: the old process of a handover, or a process outside the fleet.
func waitUntilHealthy(ctx context.Context, address string, accept func(healthStatus) bool) bool {
	interval := initialHealthPoll
	for !accept(checkHealth(ctx, address)) {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(interval):
		}
		interval = min(interval*3/2, maxHealthPoll)
	}
	return true
}
