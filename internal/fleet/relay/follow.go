package relay

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"otterspring/internal/bootclock"
	"otterspring/internal/fleet/coordination/client"
	"otterspring/internal/logging"
)

// Timing of the watch calls. If one member becomes unresponsive and the next member responds,
// the age of the configuration stays within 0.95 s. The last call that gets a response waits
// at most 0.35 s (watchWait). The call to the unresponsive member times out after 0.6 s
// (watchWait and minResponseTimeout). The call to the next member does not wait.
const (
	watchWait          = 350 * time.Millisecond // how long a call waits for an update
	minResponseTimeout = 250 * time.Millisecond // how long a response may take beyond the wait
	maxResponseTimeout = 2 * time.Second        // upper limit of responseTimeout
	memberBackoff      = 20 * time.Millisecond  // mean delay before the next member is called
	allMembersBackoff  = 200 * time.Millisecond // mean delay after all members have failed
	idleConnTimeout    = time.Minute            // how long an unused connection to a member stays open
)

// errNoUpdate reports a response from a member that contains no update.
var errNoUpdate = errors.New("response without an update")

// WrongClusterError reports a member that does not belong to the configured cluster.
type WrongClusterError struct {
	File, Address string // path of the relay's configuration file, address of the member
	Got, Want     string // "NAME" if the names of the clusters differ, "NAME#NUMBER" if only their numbers differ
}

// Error returns a message of one line that names the configuration file and the key.
func (e *WrongClusterError) Error() string {
	return fmt.Sprintf("%s: members: %s: found cluster %q, wanted %q", e.File, e.Address, e.Got, e.Want)
}

// clusterWatcher watches the configuration of the cluster and applies it to a feed. Only the
// goroutine that calls run may use the clusterWatcher.
type clusterWatcher struct {
	config              *Config
	feed                *feed
	log                 *slog.Logger
	client              http.Client
	cluster             string // cluster as "NAME#NUMBER"; empty before the first update
	memberIndex         int    // index of the current member
	lastCallOK          bool   // whether the current member responded to the previous call
	consecutiveFailures int
}

func newClusterWatcher(config *Config, feed *feed, log *slog.Logger) *clusterWatcher {
	transport := &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: idleConnTimeout}
	return &clusterWatcher{
		config: config, feed: feed, log: log, memberIndex: rand.IntN(len(config.Members)),
		client: http.Client{Transport: transport},
	}
}

// run watches the cluster until ctx is canceled. It returns a *WrongClusterError if the
// first cluster that responds is not the configured one.
func (w *clusterWatcher) run(ctx context.Context) error {
	defer w.client.CloseIdleConnections()
	for ctx.Err() == nil {
		address := w.config.Members[w.memberIndex]
		err := w.call(ctx, address)
		if err == nil {
			w.handleSuccess(address)
			continue
		}
		if wrong, ok := errors.AsType[*WrongClusterError](err); ok && w.cluster == "" {
			return wrong
		}
		if ctx.Err() == nil {
			w.handleFailure(ctx, address, err)
		}
	}
	return nil
}

// call asks one member for updates since the cached version. The first call to a member
// does not wait for an update, so that an unresponsive member is detected quickly.
func (w *clusterWatcher) call(ctx context.Context, address string) error {
	version, _ := w.feed.state()
	request := client.Request{Kind: client.WatchConfiguration, Version: version}
	if w.lastCallOK {
		request.WaitMS = int(watchWait.Milliseconds())
	}
	timeout := time.Duration(request.WaitMS)*time.Millisecond + w.responseTimeout()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	sent := bootclock.Now()
	response, err := client.Call(ctx, &w.client, address, w.config.Region, request)
	if err != nil {
		return err
	}
	return w.apply(address, sent, response)
}

// responseTimeout returns how long a call may take beyond its wait. It doubles each time all
// members have failed, so that a large response can be received over a slow network.
func (w *clusterWatcher) responseTimeout() time.Duration {
	rounds := min(w.consecutiveFailures/len(w.config.Members), 8)
	return min(minResponseTimeout<<rounds, maxResponseTimeout)
}

// apply applies a member's response to the feed.
func (w *clusterWatcher) apply(address string, sent time.Duration, response *client.Response) error {
	region, _, _ := strings.Cut(response.Cluster, "#")
	if region != w.config.Region {
		return w.wrongCluster(address, region, w.config.Region)
	}
	switch {
	case response.Unavailable != "":
		return errors.New(response.Unavailable)
	case response.Rejection != "":
		return errors.New(response.Rejection)
	case response.Update == nil:
		return errNoUpdate
	}
	if err := w.checkCluster(address, response); err != nil {
		return err
	}
	if err := w.feed.apply(sent, *response.Update); err != nil {
		return err
	}
	w.cluster = response.Cluster
	return nil
}

// checkCluster returns an error if the response comes from another cluster that was given the
// same name by mistake. This cluster has a different number. A cluster that was restored from
// a snapshot also has a new number, but checkCluster accepts it, since its versions are in a
// newer token space.
func (w *clusterWatcher) checkCluster(address string, response *client.Response) error {
	version, _ := w.feed.state()
	if w.cluster == "" || response.Cluster == w.cluster || response.Update.Version.TokenSpace() > version.TokenSpace() {
		return nil
	}
	return w.wrongCluster(address, response.Cluster, w.cluster)
}

func (w *clusterWatcher) wrongCluster(address, got, want string) error {
	return &WrongClusterError{File: w.config.Path, Address: address, Got: got, Want: want}
}

func (w *clusterWatcher) handleSuccess(address string) {
	if !w.lastCallOK {
		w.log.Info("watching cluster", "cluster", w.cluster, "address", address, "version", w.versionText())
	}
	w.lastCallOK, w.consecutiveFailures = true, 0
}

// handleFailure switches to the next member and waits for the backoff.
func (w *clusterWatcher) handleFailure(ctx context.Context, address string, err error) {
	w.lastCallOK = false
	w.consecutiveFailures++
	w.memberIndex = (w.memberIndex + 1) % len(w.config.Members)
	level := slog.LevelDebug
	if _, ok := errors.AsType[*WrongClusterError](err); ok {
		level = slog.LevelWarn // a configuration error, whatever the other members respond
	}
	//nolint:sloglint // logging.RateLimitKey limits the rate of these lines per member
	w.log.Log(ctx, level, "cluster member failed", logging.RateLimitKey("member "+address), slog.String("address", address), slog.Any("error", err))
	mean := memberBackoff
	if w.consecutiveFailures%len(w.config.Members) == 0 {
		mean = allMembersBackoff
		w.log.Warn("no cluster member with a leader responds; serving the cached version",
			"cluster", w.config.Region, "members", w.config.Members, "version", w.versionText(), "error", err)
	}
	select {
	case <-ctx.Done():
	case <-time.After(jitter(mean)):
	}
}

// versionText returns the cached version as a log attribute.
func (w *clusterWatcher) versionText() string {
	version, last := w.feed.state()
	if !last.known {
		return "none"
	}
	return version.String()
}

// jitter returns a random duration between 0.5 and 1.5 times the mean.
func jitter(mean time.Duration) time.Duration {
	return time.Duration(float64(mean) * (0.5 + rand.Float64()))
}
