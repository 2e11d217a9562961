package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"otterspring/internal/fleet/coordination"
	"otterspring/internal/fleet/coordination/client"
	"otterspring/internal/fleet/rollout"
	"otterspring/internal/fleet/supervisor"
)

// Limits of a rollout to all hosts.
const (
	operationAttemptTimeout = 10 * time.Second // time limit of one attempt to request the operation
	readStateTimeout        = 30 * time.Second // time limit of a request for the cluster's state
	maxConcurrentInstances  = 100              // highest value of -at-once
)

// runRollout requests a rolling update of all hosts as an operation of the coordination
// cluster. With -wait it also prints the progress of the operation until the operation is
// complete.
func runRollout(ctx context.Context, file *supervisor.File, flags updateFlags, instances []string, out io.Writer) error {
	request := flags.request
	switch {
	case file.Coordination.Name == "":
		return fmt.Errorf("%s: found no [council], wanted one for -everywhere", file.Path)
	case len(instances) > 0:
		return fmt.Errorf("%w: -everywhere: found %q, wanted nothing behind the file", errUsage, instances[0])
	case request.MaxConcurrent < 1 || request.MaxConcurrent > maxConcurrentInstances || request.MaxConcurrentPerZone < 0:
		return fmt.Errorf("%w: -everywhere: found -at-once %d and -zone-at-once %d, wanted 1 to %d, and 0 or more", errUsage, request.MaxConcurrent, request.MaxConcurrentPerZone, maxConcurrentInstances)
	}
	cluster := client.NewClient(file.Coordination.Name, file.Coordination.Members)
	defer cluster.Close()
	id, err := requestRollout(ctx, cluster, request)
	if err != nil {
		return err
	}
	if err := printf(out, "order %s\n", id); err != nil || !flags.wait {
		return err
	}
	return waitForOperation(ctx, cluster, id, out)
}

// requestRollout requests the operation and returns its ID. It retries after an attempt with
// an unknown outcome. This is safe because the cluster applies an ID only once.
func requestRollout(ctx context.Context, cluster *client.Client, request rollout.Request) (id string, err error) {
	data, err := json.Marshal(request)
	if err != nil {
		return "", err
	}
	id = fmt.Sprintf("r%08x", rand.Uint32())
	for {
		attemptCtx, cancel := context.WithTimeout(ctx, operationAttemptTimeout)
		response, err := cluster.Do(attemptCtx, client.Request{Kind: client.RequestOperation, OperationID: id, Lease: supervisor.RolloutLease, Data: data})
		cancel()
		switch {
		case errors.Is(err, client.ErrUnknownOutcome):
		case err != nil:
			return "", err
		case response.Rejection != "":
			return "", errors.New(response.Rejection)
		default:
			return id, nil
		}
	}
}

// waitForOperation prints the progress of an operation until the operation is complete. It
// returns an outcome other than rollout.ResultDone as an error.
func waitForOperation(ctx context.Context, cluster *client.Client, id string, out io.Writer) error {
	printed := ""
	for ; ; time.Sleep(progressInterval) {
		state, err := readState(ctx, cluster)
		if err != nil {
			return err
		}
		if progress := operationProgress(state, id); progress != printed && progress != "" {
			if err := printf(out, "%s\n", progress); err != nil {
				return err
			}
			printed = progress
		}
		switch outcome := operationOutcome(state, id); outcome {
		case "":
		case rollout.ResultDone:
			return printf(out, "%s\n", rollout.ResultDone)
		default:
			return errors.New(outcome)
		}
	}
}

func readState(ctx context.Context, cluster *client.Client) (*coordination.State, error) {
	ctx, cancel := context.WithTimeout(ctx, readStateTimeout)
	defer cancel()
	response, err := cluster.Do(ctx, client.Request{Kind: client.ReadState})
	if err != nil {
		return nil, err
	}
	return response.State, nil
}

// operationProgress returns the progress of an operation from the lease holder's checkpoint.
// It returns an empty string if there is no checkpoint of this operation.
func operationProgress(state *coordination.State, id string) string {
	lease := state.Leases[supervisor.RolloutLease]
	if lease == nil || lease.Checkpoint == nil {
		return ""
	}
	var checkpoint rollout.Checkpoint
	if json.Unmarshal(lease.Checkpoint, &checkpoint) != nil || checkpoint.RolloutID != id {
		return ""
	}
	progress := fmt.Sprintf("%d of %d by %s, epoch %v", checkpoint.Completed, checkpoint.Total, lease.Holder, lease.Token)
	if checkpoint.WaitReason != "" {
		progress += ": " + checkpoint.WaitReason
	}
	return progress
}

// operationOutcome returns the outcome of an operation, or an empty string until it is
// complete.
func operationOutcome(state *coordination.State, id string) string {
	for _, operation := range state.Operations {
		if operation.ID == id {
			return operation.Outcome
		}
	}
	return ""
}
