package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"net/http"
	"os"
	"os/signal"
	"slices"
	"strconv"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"otterspring/internal/cli"
	"otterspring/internal/disk"
	"otterspring/internal/fleet/coordination"
	"otterspring/internal/fleet/coordination/client"
	"otterspring/internal/fleet/coordination/server"
)

// Timeouts of the council command.
const (
	clusterTimeout      = 5 * time.Second // time limit of a request to the cluster
	memberStatusTimeout = 2 * time.Second // time limit of a status request to one member
)

// errNoMajority is returned by `council status` if no majority of the members is up.
var errNoMajority = errors.New("no majority: no lease can be acquired; hosts continue to supervise their instances")

// councilCommand returns `otterspring council` with its verbs. The command line and the
// operators' documentation use other terms than the code: "council" for the coordination
// cluster, "duty" for a lease, and "order" for an operation.
func councilCommand(out io.Writer, log func() *slog.Logger) *cobra.Command {
	return cli.NewGroup("council", "run and query the members that grant leases for the whole fleet",
		"council runs one of 3 or 5 members that agree on one holder for each lease of the fleet\n"+
			"(docs/operate/council.md), and sends requests to them. Exit codes: 0 success, 1 failure, 2 usage.",
		councilRun(log), councilCheck(out), councilStatus(out), councilLeases(out), councilStepDown(out), councilMembers(out),
		councilForget(out), councilSnapshot(out), councilRestore(out))
}

// clusterVerb returns a verb that takes a cluster's file and argCount further arguments. run
// gets the parsed file and the further arguments.
func clusterVerb(use, short string, argCount int, run func(ctx context.Context, config *server.Config, args []string) error) *cobra.Command {
	command := &cobra.Command{Use: use, Short: short, DisableFlagsInUseLine: true}
	command.RunE = func(_ *cobra.Command, args []string) error {
		if len(args) != 1+argCount {
			return fmt.Errorf("%w: council %s: found %d words, wanted: %s", errUsage, command.Name(), len(args), use)
		}
		config, err := server.LoadConfig(args[0])
		if err != nil {
			return err
		}
		return run(command.Context(), config, args[1:])
	}
	return command
}

func councilRun(log func() *slog.Logger) *cobra.Command {
	var number uint64
	var bootstrap, join bool
	command := clusterVerb("run [flags] FILE", "run a member until SIGTERM or SIGINT", 0, func(ctx context.Context, config *server.Config, _ []string) error {
		mode := server.Resume
		switch {
		case bootstrap && join:
			return fmt.Errorf("%w: council run: found -new and -join, wanted one of them", errUsage)
		case bootstrap:
			mode = server.Bootstrap
		case join:
			mode = server.Join
		}
		ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
		defer stop()
		member, err := server.Open(ctx, config, number, mode, log())
		if err != nil {
			return err
		}
		return member.Run(ctx)
	})
	command.Flags().Uint64Var(&number, "member", 0, "number of the member in the file")
	command.Flags().BoolVar(&bootstrap, "new", false, "start a new council: once, on each of its first members")
	command.Flags().BoolVar(&join, "join", false, "start as a member that was added (members add)")
	return command
}

func councilCheck(out io.Writer) *cobra.Command {
	return clusterVerb("check FILE", "check a file without starting anything", 0, func(_ context.Context, config *server.Config, _ []string) error {
		return printf(out, "%s: good; %s, lease %v, margin %v\n", config.Path, plural(len(config.Members), "member", "members"), config.Lease, config.Margin)
	})
}

// councilStatus returns the verb "status", which queries each member directly.
func councilStatus(out io.Writer) *cobra.Command {
	return clusterVerb("status FILE", "show the status of each member", 0, func(ctx context.Context, config *server.Config, _ []string) error {
		output := &printer{out: out}
		up := 0
		for _, m := range config.Members {
			if printMemberStatus(ctx, output, config.Name, m) {
				up++
			}
		}
		output.printf("%d members, %d up\n", len(config.Members), up)
		if output.err == nil && up <= len(config.Members)/2 {
			return errNoMajority
		}
		return output.err
	})
}

// printMemberStatus prints the status of a member and reports whether the member is up. A
// member is up if it responds and does not report that it is unavailable.
func printMemberStatus(ctx context.Context, output *printer, cluster string, m server.MemberAddress) bool {
	ctx, cancel := context.WithTimeout(ctx, memberStatusTimeout)
	defer cancel()
	status, err := client.Call(ctx, http.DefaultClient, m.Address, cluster, client.Request{Kind: client.WatchLeases})
	switch {
	case err != nil:
		output.printf("member %d %-21s no answer: %v\n", m.Number, m.Address, err)
		return false
	case status.Unavailable != "":
		output.printf("member %d %-21s %s\n", m.Number, m.Address, status.Unavailable)
		return false
	}
	role := "follows"
	if status.IsLeader {
		role = "leads"
	}
	output.printf("member %d %-21s %s term %d entry %d voters %v learners %v syncs %d strange %d version %d of %s\n",
		m.Number, m.Address, role, status.Term, status.Index, status.Voters, status.Learners, status.Syncs, status.WrongClusterCalls, status.Version, status.Cluster)
	return true
}

// sendToCluster sends a request with clusterTimeout as its time limit. It returns a rejection
// by the cluster as an error.
func sendToCluster(ctx context.Context, config *server.Config, request client.Request) (*client.Response, error) {
	ctx, cancel := context.WithTimeout(ctx, clusterTimeout)
	defer cancel()
	cluster := client.NewClient(config.Name, config.Addresses())
	defer cluster.Close()
	response, err := cluster.Do(ctx, request)
	if err == nil && response.Rejection != "" {
		err = errors.New(response.Rejection)
	}
	return response, err
}

func councilLeases(out io.Writer) *cobra.Command {
	return clusterVerb("duties FILE", "show the holder of each lease, confirmed by a majority", 0, func(ctx context.Context, config *server.Config, _ []string) error {
		response, err := sendToCluster(ctx, config, client.Request{Kind: client.ReadState})
		if err != nil {
			return err
		}
		return printLeases(out, response.State)
	})
}

func printLeases(out io.Writer, state *coordination.State) error {
	output := &printer{out: out}
	for _, name := range slices.Sorted(maps.Keys(state.Leases)) {
		lease := state.Leases[name]
		holder := lease.Holder
		if holder == "" {
			holder = "nobody"
		}
		output.printf("%-12s %-24s epoch %v since %d note %s\n", lease.Name, holder, lease.Token, lease.AcquiredAt, lease.Checkpoint)
	}
	for _, operation := range state.Operations {
		outcome := operation.Outcome
		if outcome == "" {
			outcome = "under way"
		}
		output.printf("order %s of %s since %d: %s: %s\n", operation.ID, operation.Lease, operation.RequestedAt, operation.Request, outcome)
	}
	output.printf("%s, %s, count %d\n", plural(len(state.Leases), "duty", "duties"), plural(len(state.HostStatus), "host", "hosts"), state.LogicalClock)
	return output.err
}

func councilStepDown(out io.Writer) *cobra.Command {
	var lease string
	command := clusterVerb("step-down [flags] FILE", "transfer the council's leadership, or let the lease of a duty expire", 0, func(ctx context.Context, config *server.Config, _ []string) error {
		if _, err := sendToCluster(ctx, config, client.Request{Kind: client.StepDown, Lease: lease}); err != nil {
			return err
		}
		return printf(out, "requested\n")
	})
	command.Flags().StringVar(&lease, "duty", "", "name of the duty; empty for the leadership of the council")
	return command
}

func councilMembers(out io.Writer) *cobra.Command {
	change := func(kind client.RequestKind, use, short string, argCount int) *cobra.Command {
		return clusterVerb(use, short, argCount, func(ctx context.Context, config *server.Config, args []string) error {
			number, err := strconv.ParseUint(args[0], 10, 32)
			if err != nil || number == 0 {
				return fmt.Errorf("%w: council members %s: found %q, wanted a member's number", errUsage, kind, args[0])
			}
			request := client.Request{Kind: kind, Member: number}
			if argCount > 1 {
				request.Address = args[1]
			}
			if _, err := sendToCluster(ctx, config, request); err != nil {
				return err
			}
			return printf(out, "member %d: %s done\n", number, kind)
		})
	}
	return cli.NewGroup("members", "change the members, one at a time", "members add NUMBER ADDRESS adds a member as a learner (run it with -join, from a file that names it); it becomes\n"+
		"a voter when it has caught up. members remove NUMBER removes one; its number is not used again.",
		change(client.AddMember, "add FILE NUMBER ADDRESS", "add a member", 2), change(client.RemoveMember, "remove FILE NUMBER", "remove a member", 1))
}

// councilForget returns the verb "forget", which removes a host that will not return. A
// rollout waits for all known hosts, so it cannot proceed while such a host is still known.
func councilForget(out io.Writer) *cobra.Command {
	return clusterVerb("forget FILE HOST", "remove a host that will not return, so that no rollout waits for it", 1, func(ctx context.Context, config *server.Config, args []string) error {
		if _, err := sendToCluster(ctx, config, client.Request{Kind: client.SetHostStatus, Subject: args[0]}); err != nil {
			return err
		}
		return printf(out, "%s: forgotten\n", args[0])
	})
}

func councilSnapshot(out io.Writer) *cobra.Command {
	return clusterVerb("snapshot FILE OUT", "write a snapshot of the council's committed state to a file", 1, func(ctx context.Context, config *server.Config, args []string) error {
		data, err := server.FetchSnapshot(ctx, config)
		if err != nil {
			return err
		}
		state, err := coordination.DecodeSnapshot(data)
		if err != nil {
			return err
		}
		if err := disk.Replace(args[0], data, true); err != nil {
			return err
		}
		return printf(out, "%s: %d bytes, space %d, %s\n", args[0], len(data), state.TokenSpace, plural(len(state.Leases), "duty", "duties"))
	})
}

func councilRestore(out io.Writer) *cobra.Command {
	var number uint64
	var space uint32
	var allowOlder bool
	command := clusterVerb("restore [flags] FILE SNAPSHOT", "restore a council that has lost its majority from a snapshot", 1, func(_ context.Context, config *server.Config, args []string) error {
		snapshot, err := disk.Read(args[0])
		if err != nil {
			return err
		}
		cluster, err := server.Restore(config, number, snapshot, space, allowOlder)
		if err != nil {
			return err
		}
		return printf(out, "member %d: council %s begins in space %d; start it with run, then add the others (members add)\n", number, cluster, space)
	})
	command.Flags().Uint64Var(&number, "member", 0, "number of the member in the file that is restored")
	command.Flags().Uint32Var(&space, "space", 0, "the new token space, greater than all earlier ones: receivers reject tokens that were issued in those")
	command.Flags().BoolVar(&allowOlder, "older", false, "accept a snapshot older than the state in the directory, which is renamed")
	return command
}
