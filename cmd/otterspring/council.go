package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
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

// councilCommand is `otterspring council` with its verbs.
func councilCommand(out io.Writer, log func() *slog.Logger) *cobra.Command {
	return cli.Root("council", "agree on one owner for work on behalf of the fleet",
		"council runs one of 3 or 5 members that agree on who does what for all hosts\n"+
			"(docs/operate/council.md), and asks them. Exit codes: 0 done, 1 it could not be done, 2 usage.",
		councilRun(log), councilCheck(out), councilStatus(out), councilDuties(out), councilStepDown(out), councilMembers(out),
		councilForget(out), councilSnapshot(out), councilRestore(out))
}

// ofCouncil is a verb that takes a council's file and a fixed number of words.
func ofCouncil(use, short string, words int, do func(f *server.Config, words []string) error) *cobra.Command {
	c := &cobra.Command{Use: use, Short: short, DisableFlagsInUseLine: true}
	c.RunE = func(_ *cobra.Command, args []string) error {
		if len(args) != 1+words {
			return fmt.Errorf("%w: council %s: found %d words, wanted: %s", errUsage, c.Name(), len(args), use)
		}
		f, err := server.LoadConfig(args[0])
		if err != nil {
			return err
		}
		return do(f, args[1:])
	}
	return c
}

func councilRun(log func() *slog.Logger) *cobra.Command {
	var number uint64
	var begins, joins bool
	c := ofCouncil("run [flags] FILE", "be a member until a signal", 0, func(f *server.Config, _ []string) error {
		begin := server.Resume
		switch {
		case begins && joins:
			return fmt.Errorf("%w: council run: found -new and -join, wanted one of them", errUsage)
		case begins:
			begin = server.Bootstrap
		case joins:
			begin = server.Join
		}
		ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
		defer stop()
		n, err := server.Open(ctx, f, number, begin, log())
		if err != nil {
			return err
		}
		return n.Run(ctx)
	})
	c.Flags().Uint64Var(&number, "member", 0, "which member of the file this is")
	c.Flags().BoolVar(&begins, "new", false, "begin a council: said once to each of its first members")
	c.Flags().BoolVar(&joins, "join", false, "begin as a member that was added (members add)")
	return c
}

func councilCheck(out io.Writer) *cobra.Command {
	return ofCouncil("check FILE", "say what is wrong with a file, start nothing", 0, func(f *server.Config, _ []string) error {
		fmt.Fprintf(out, "%s: good; %s, lease %v, margin %v\n", f.Path, plural(len(f.Members), "member", "members"), f.Lease, f.Margin)
		return nil
	})
}

// councilStatus asks each member by itself.
func councilStatus(out io.Writer) *cobra.Command {
	return ofCouncil("status FILE", "what each member says", 0, func(f *server.Config, _ []string) error {
		up := 0
		for _, m := range f.Members {
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			a, err := client.Call(ctx, http.DefaultClient, m.Address, f.Name, client.Request{Kind: client.WatchLeases})
			cancel()
			switch {
			case err != nil:
				fmt.Fprintf(out, "member %d %-21s no answer: %v\n", m.Number, m.Address, err)
				continue
			case a.Unavailable != "":
				fmt.Fprintf(out, "member %d %-21s %s\n", m.Number, m.Address, a.Unavailable)
				continue
			}
			up++
			role := "follows"
			if a.IsLeader {
				role = "leads"
			}
			fmt.Fprintf(out, "member %d %-21s %s term %d entry %d voters %v learners %v syncs %d strange %d version %d of %s\n",
				m.Number, m.Address, role, a.Term, a.Index, a.Voters, a.Learners, a.Syncs, a.WrongClusterCalls, a.Version, a.Cluster)
		}
		fmt.Fprintf(out, "%d members, %d up\n", len(f.Members), up)
		if up <= len(f.Members)/2 {
			return errors.New("no majority: nothing is owned by anybody new; hosts go on by themselves")
		}
		return nil
	})
}

const askFor = 5 * time.Second

func askCouncil(f *server.Config, q client.Request) (*client.Response, error) {
	ctx, cancel := context.WithTimeout(context.Background(), askFor)
	defer cancel()
	c := client.NewClient(f.Name, f.Addresses())
	defer c.Close()
	a, err := c.Do(ctx, q)
	if err == nil && a.Rejection != "" {
		err = errors.New(a.Rejection)
	}
	return a, err
}

func councilDuties(out io.Writer) *cobra.Command {
	return ofCouncil("duties FILE", "who owns what, as a majority knows it", 0, func(f *server.Config, _ []string) error {
		a, err := askCouncil(f, client.Request{Kind: client.ReadState})
		if err != nil {
			return err
		}
		var names []string
		for name := range a.State.Leases {
			names = append(names, name)
		}
		slices.Sort(names)
		for _, name := range names {
			d := a.State.Leases[name]
			owner := d.Holder
			if owner == "" {
				owner = "nobody"
			}
			fmt.Fprintf(out, "%-12s %-24s epoch %v since %d note %s\n", d.Name, owner, d.Token, d.AcquiredAt, d.Checkpoint)
		}
		for _, o := range a.State.Operations {
			end := o.Outcome
			if end == "" {
				end = "under way"
			}
			fmt.Fprintf(out, "order %s of %s since %d: %s: %s\n", o.ID, o.Lease, o.RequestedAt, o.Request, end)
		}
		fmt.Fprintf(out, "%s, %s, count %d\n", plural(len(names), "duty", "duties"), plural(len(a.State.HostStatus), "host", "hosts"), a.State.LogicalClock)
		return nil
	})
}

func councilStepDown(out io.Writer) *cobra.Command {
	var duty string
	c := ofCouncil("step-down [flags] FILE", "let another member lead, or the lease of a duty's owner run out", 0, func(f *server.Config, _ []string) error {
		_, err := askCouncil(f, client.Request{Kind: client.StepDown, Lease: duty})
		if err == nil {
			fmt.Fprintln(out, "asked for")
		}
		return err
	})
	c.Flags().StringVar(&duty, "duty", "", "the duty; empty for the leader of the council")
	return c
}

func councilMembers(out io.Writer) *cobra.Command {
	change := func(kind client.RequestKind, use, short string, words int) *cobra.Command {
		return ofCouncil(use, short, words, func(f *server.Config, args []string) error {
			number, err := strconv.ParseUint(args[0], 10, 32)
			if err != nil || number == 0 {
				return fmt.Errorf("%w: council members %s: found %q, wanted a member's number", errUsage, kind, args[0])
			}
			q := client.Request{Kind: kind, Member: number}
			if words > 1 {
				q.Address = args[1]
			}
			if _, err := askCouncil(f, q); err != nil {
				return err
			}
			fmt.Fprintf(out, "member %d: %s done\n", number, kind)
			return nil
		})
	}
	return cli.Root("members", "change the members, one at a time", "members add NUMBER ADDRESS lets a new member hear (run it with -join, from a file that names it); it counts\n"+
		"as soon as it is near. members remove NUMBER ends one; its number is not given again.",
		change(client.AddMember, "add FILE NUMBER ADDRESS", "add a member", 2), change(client.RemoveMember, "remove FILE NUMBER", "remove a member", 1))
}

// councilForget takes a host out that will not come back: a roll waits for all.
func councilForget(out io.Writer) *cobra.Command {
	return ofCouncil("forget FILE HOST", "a host has gone for good: nothing waits for it", 1, func(f *server.Config, args []string) error {
		_, err := askCouncil(f, client.Request{Kind: client.SetHostStatus, Subject: args[0]})
		if err == nil {
			fmt.Fprintf(out, "%s: forgotten\n", args[0])
		}
		return err
	})
}

func councilSnapshot(out io.Writer) *cobra.Command {
	return ofCouncil("snapshot FILE OUT", "keep what is agreed on in a file", 1, func(f *server.Config, args []string) error {
		data, err := server.FetchSnapshot(context.Background(), f)
		if err != nil {
			return err
		}
		s, err := coordination.DecodeSnapshot(data)
		if err == nil {
			err = disk.Replace(args[0], data, true)
		}
		if err == nil {
			fmt.Fprintf(out, "%s: %d bytes, space %d, %s\n", args[0], len(data), s.TokenSpace, plural(len(s.Leases), "duty", "duties"))
		}
		return err
	})
}

func councilRestore(out io.Writer) *cobra.Command {
	var number uint64
	var space uint32
	var older bool
	c := ofCouncil("restore [flags] FILE SNAPSHOT", "begin anew from a snapshot, by hand, where the majority is lost for good", 1, func(f *server.Config, args []string) error {
		data, err := disk.Read(args[0])
		if err != nil {
			return err
		}
		of, err := server.Restore(f, number, data, space, older)
		if err == nil {
			fmt.Fprintf(out, "member %d: council %s begins in space %d; start it with run, then add the others (members add)\n", number, of, space)
		}
		return err
	})
	c.Flags().Uint64Var(&number, "member", 0, "which member of the file begins")
	c.Flags().Uint32Var(&space, "space", 0, "the new epoch space: more than any before; what was given out before is refused by all who hear of it")
	c.Flags().BoolVar(&older, "older", false, "the snapshot may be older than the state in the directory, which is put aside")
	return c
}
