package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"time"

	"otterspring/internal/fleet/coordination"
	"otterspring/internal/fleet/coordination/client"
	"otterspring/internal/fleet/rollout"
	"otterspring/internal/fleet/supervisor"
)

const (
	progressInterval = 200 * time.Millisecond
	requestTimeout   = 10 * time.Second // of a request to the cluster
	readTimeout      = 30 * time.Second // of one that reads its state
	maxConcurrent    = 100              // instances in progress at a time
)

var (
	errPaused    = errors.New("the rolling update has paused")
	errNotAllOK  = errors.New("not all instances succeeded")
	errNoCluster = errors.New("found no [council], wanted one for -everywhere")
)

// waitForUpdate prints the progress of a rolling restart or reload on this host until
// it has ended. Its error is errPaused or errNotAllOK.
func waitForUpdate(ctx context.Context, f *supervisor.File, out io.Writer) error {
	printed := ""
	for {
		status, err := supervisor.SendCommand(f.Control, "status")
		if err != nil {
			return err
		}
		progress, latest := updateProgress(status)
		if progress == "" {
			return reportResult(latest, out)
		}
		if progress != printed {
			if _, err := fmt.Fprintln(out, progress); err != nil {
				return err
			}
			printed = progress
		}
		if strings.Contains(progress, "paused") {
			return errPaused
		}
		if err := sleep(ctx, progressInterval); err != nil {
			return err
		}
	}
}

// updateProgress reads a supervisor's status: the progress of a rolling update, empty
// if there is none, and the latest event.
func updateProgress(status string) (progress, latest string) {
	lines := strings.Split(strings.TrimSpace(status), "\n")
	for _, line := range lines {
		if text, found := strings.CutPrefix(line, "roll: "); found {
			progress = text
		}
	}
	return progress, lines[len(lines)-1]
}

// reportResult prints the event of an update's end.
func reportResult(event string, out io.Writer) error {
	if _, err := fmt.Fprintln(out, event); err != nil {
		return err
	}
	if strings.Contains(event, "rolled back") || !strings.Contains(event, ", 0 did not") {
		return errNotAllOK
	}
	return nil
}

// rollOutEverywhere requests a rolling restart or reload on all hosts of the cluster
// and, with wait, prints its progress until it has ended.
func rollOutEverywhere(ctx context.Context, f *supervisor.File, request rollout.Request, names []string, wait bool, out io.Writer) error {
	switch {
	case f.Coordination.Name == "":
		return fmt.Errorf("%s: %w", f.Path, errNoCluster)
	case len(names) > 0:
		return fmt.Errorf("%w: -everywhere: found %q, wanted nothing behind the file", errUsage, names[0])
	case request.MaxConcurrent < 1 || request.MaxConcurrent > maxConcurrent || request.MaxConcurrentPerZone < 0:
		return fmt.Errorf("%w: -everywhere: found -at-once %d and -zone-at-once %d, wanted 1 to %d, and 0 or more",
			errUsage, request.MaxConcurrent, request.MaxConcurrentPerZone, maxConcurrent)
	}
	cluster := client.NewClient(f.Coordination.Name, f.Coordination.Members)
	defer cluster.Close()
	id, err := requestOperation(ctx, cluster, request)
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintf(out, "order %s\n", id); err != nil || !wait {
		return err
	}
	return waitForOperation(ctx, cluster, id, out)
}

// requestOperation requests an operation and returns its ID. The ID makes the request
// idempotent: it is repeated while its outcome is unknown.
func requestOperation(ctx context.Context, cluster *client.Client, request rollout.Request) (string, error) {
	text, err := json.Marshal(request)
	if err != nil {
		return "", err
	}
	id := fmt.Sprintf("r%08x", rand.Uint32())
	operation := client.Request{Kind: client.RequestOperation, OperationID: id, Lease: supervisor.RolloutLease, Data: text}
	for {
		response, err := do(ctx, cluster, operation, requestTimeout)
		switch {
		case errors.Is(err, client.ErrUnknownOutcome):
			continue
		case err != nil:
			return "", err
		case response.Rejection != "":
			return "", errors.New(response.Rejection)
		}
		return id, nil
	}
}

// waitForOperation prints the progress of an operation until it is complete. Its
// error is the outcome of one that failed.
func waitForOperation(ctx context.Context, cluster *client.Client, id string, out io.Writer) error {
	printed := ""
	for {
		response, err := do(ctx, cluster, client.Request{Kind: client.ReadState}, readTimeout)
		if err != nil {
			return err
		}
		if progress := operationProgress(response.State, id); progress != "" && progress != printed {
			if _, err := fmt.Fprintln(out, progress); err != nil {
				return err
			}
			printed = progress
		}
		switch outcome := operationOutcome(response.State, id); outcome {
		case "":
		case rollout.ResultDone:
			_, err := fmt.Fprintln(out, outcome)
			return err
		default:
			return errors.New(outcome)
		}
		if err := sleep(ctx, progressInterval); err != nil {
			return err
		}
	}
}

// operationProgress is what the leader's checkpoint holds of an operation; empty
// where it is of another.
func operationProgress(state *coordination.State, id string) string {
	lease := state.Leases[supervisor.RolloutLease]
	if lease == nil || lease.Checkpoint == nil {
		return ""
	}
	var checkpoint rollout.Checkpoint
	if err := json.Unmarshal(lease.Checkpoint, &checkpoint); err != nil || checkpoint.RolloutID != id {
		return ""
	}
	progress := fmt.Sprintf("%d of %d by %s, epoch %v", checkpoint.Completed, checkpoint.Total, lease.Holder, lease.Token)
	if checkpoint.Waiting != "" {
		progress += ": " + checkpoint.Waiting
	}
	return progress
}

// operationOutcome is how an operation ended; empty while it has not.
func operationOutcome(state *coordination.State, id string) string {
	for _, operation := range state.Operations {
		if operation.ID == id && operation.Outcome != "" {
			return operation.Outcome
		}
	}
	return ""
}

// do sends one request to the cluster.
func do(ctx context.Context, cluster *client.Client, request client.Request, timeout time.Duration) (*client.Response, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return cluster.Do(ctx, request)
}

// sleep waits for d. It returns an error when ctx ends first.
func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}
