package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"os/signal"
	"time"

	"github.com/spf13/cobra"

	"otterspring/internal/cli"
	"otterspring/internal/fleet/relay"
)

const (
	relayInfoTimeout  = 2 * time.Second
	maxRelayInfoBytes = 64 << 10
)

// relayCommand returns `otterspring relay` with its verbs.
func relayCommand(out io.Writer, log func() *slog.Logger) *cobra.Command {
	return cli.NewGroup("relay", "serve a region's configuration to the sidecars of a zone",
		"relay watches the configuration in the council of a region and serves it to the sidecars of a zone\n"+
			"(docs/operate/configuration.md). It stores no file. SIGTERM or SIGINT drains its subscribers\n"+
			"within the time that drain in the file sets; a second signal ends the process at once.\n"+
			"Exit codes: 0 success, 1 failure, 2 usage.",
		relayRun(log), relayCheck(out), relayStatus(out))
}

func relayRun(log func() *slog.Logger) *cobra.Command {
	return relayVerb("run FILE", "serve until SIGTERM or SIGINT", func(ctx context.Context, path string) error {
		file, err := relay.LoadConfig(path)
		if err != nil {
			return err
		}
		ctx, stop := untilFirstSignal(ctx, signal.NotifyContext)
		defer stop()
		process, err := relay.Open(file, log())
		if err != nil {
			return err
		}
		return process.Run(ctx)
	})
}

func relayCheck(out io.Writer) *cobra.Command {
	return relayVerb("check FILE", "check a file without starting anything", func(_ context.Context, path string) error {
		file, err := relay.LoadConfig(path)
		if err != nil {
			return err
		}
		return printf(out, "%s: good; relay %s of zone %s, %s, %s at once\n", path, file.Name, file.Zone,
			plural(len(file.Members), "member", "members"), plural(file.MaxSnapshotsInFlight, "snapshot", "snapshots"))
	})
}

// relayStatus returns the verb that prints the status of a running relay.
func relayStatus(out io.Writer) *cobra.Command {
	var asJSON bool
	command := relayVerb("status ADDRESS", "show the status of a running relay", func(ctx context.Context, address string) error {
		text, err := fetchRelayInfo(ctx, address)
		if err != nil {
			return err
		}
		var info relay.Info
		if json.Unmarshal(text, &info) != nil || info.Region == "" {
			return fmt.Errorf("%s: found a response of another server, wanted a relay's", address)
		}
		if asJSON {
			return printf(out, "%s\n", text)
		}
		return printRelayInfo(out, &info)
	})
	command.Flags().BoolVar(&asJSON, "json", false, "print the relay's response, as JSON in one line")
	return command
}

func fetchRelayInfo(ctx context.Context, address string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, relayInfoTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+relay.InfoPath, nil)
	if err != nil {
		return nil, fmt.Errorf("%w: relay status: found address %.80q, wanted IP:PORT", errUsage, address)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxRelayInfoBytes))
	if err == nil && response.StatusCode != http.StatusOK {
		err = fmt.Errorf("%s: found status %d, wanted a relay's 200", address, response.StatusCode)
	}
	return text, err
}

func printRelayInfo(out io.Writer, info *relay.Info) error {
	state := "serves"
	switch {
	case info.Draining:
		state = "drains"
	case !info.Ready:
		state = "waits for a first response from the council"
	}
	p := &printer{out: out}
	p.printf("relay %s of zone %s, region %s: %s\n", info.Name, info.Zone, info.Region, state)
	p.printf("version %v, %d ms old\n", info.Version, info.AgeMS)
	p.printf("%s, %s, %d refused\n", plural(info.Subscribers, "subscriber", "subscribers"),
		plural(int(info.Connections), "connection", "connections"), info.Counts.ConnectionsRejected)
	p.printf("%d polls: %d without changes, %d deltas, %d snapshots (%d in flight, %d at most), %d told to retry later, %d write timeouts\n",
		info.Counts.Polls, info.Counts.Empty, info.Counts.Deltas, info.Counts.Snapshots, info.SnapshotsInFlight, info.SnapshotsPeak,
		info.Counts.Busy, info.Counts.WriteTimeouts)
	return p.err
}

// relayVerb returns a verb with exactly one argument.
func relayVerb(use, short string, run func(ctx context.Context, arg string) error) *cobra.Command {
	return &cobra.Command{Use: use, Short: short, DisableFlagsInUseLine: true, RunE: func(c *cobra.Command, args []string) error {
		if len(args) != 1 {
			return fmt.Errorf("%w: relay %s: found %d words, wanted: %s", errUsage, c.Name(), len(args), use)
		}
		return run(c.Context(), args[0])
	}}
}
