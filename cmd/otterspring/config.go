package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/spf13/cobra"

	"otterspring/internal/cli"
	"otterspring/internal/fleet/configuration"
	"otterspring/internal/fleet/configuration/servicefile"
	"otterspring/internal/fleet/coordination/client"
	"otterspring/internal/fleet/coordination/server"
)

// errConflict is a change that was made for another version than the service has.
var errConflict = errors.New("version conflict")

// Bounds of a call to a council by the config command.
const (
	configTryTimeout  = 10 * time.Second // of one question
	configRetryPause  = 50 * time.Millisecond
	completionTimeout = 2 * time.Second // of the names for a shell
)

// configOptions are what all verbs of config share.
type configOptions struct {
	councilPath string
	asJSON      bool
	timeout     time.Duration
	out         io.Writer
}

// configCommand is `otterspring config` with its verbs.
func configCommand(out io.Writer) *cobra.Command {
	options := &configOptions{out: out}
	command := cli.Root("config", "change and read the settings of services, and see where they are in force",
		"config changes the settings of a region's services in its council (docs/operate/configuration.md), from\n"+
			"where relays bring them to all sidecars. Exit codes: 0 done, 1 refused or it could not be done, 2 usage,\n"+
			"3 the service has another version than -if-version says.",
		configPut(options), configGet(options), configList(options), configStatus(options))
	flags := command.PersistentFlags()
	flags.StringVar(&options.councilPath, "council", "", "the council's file")
	flags.BoolVar(&options.asJSON, "json", false, "print one JSON object")
	flags.DurationVar(&options.timeout, "timeout", 30*time.Second, "after which it could not be done")
	return command
}

// configVerb is a verb of config that takes a number of words.
func (o *configOptions) configVerb(use, short string, words int, do func(ctx context.Context, f *server.Config, words []string) error) *cobra.Command {
	c := &cobra.Command{Use: use, Short: short, DisableFlagsInUseLine: true}
	c.RunE = func(_ *cobra.Command, args []string) error {
		if len(args) != words {
			return fmt.Errorf("%w: config %s: found %s, wanted: %s", errUsage, c.Name(), plural(len(args), "word", "words"), use)
		}
		if o.councilPath == "" {
			return fmt.Errorf("%w: config %s: found no -council, wanted the council's file", errUsage, c.Name())
		}
		if o.timeout <= 0 {
			return fmt.Errorf("%w: config %s: found -timeout %v, wanted more than 0", errUsage, c.Name(), o.timeout)
		}
		f, err := server.LoadConfig(o.councilPath)
		if err != nil {
			return err
		}
		ctx, cancel := context.WithTimeout(context.Background(), o.timeout)
		defer cancel()
		return do(ctx, f, args)
	}
	return c
}

// ofService is a verb of config that takes the name of a service, which shells complete.
func (o *configOptions) ofService(use, short string, do func(ctx context.Context, f *server.Config, service string) error) *cobra.Command {
	c := o.configVerb(use, short, 1, func(ctx context.Context, f *server.Config, words []string) error { return do(ctx, f, words[0]) })
	c.ValidArgsFunction = func(_ *cobra.Command, args []string, _ string) ([]string, cobra.ShellCompDirective) {
		if len(args) > 0 {
			return nil, cobra.ShellCompDirectiveNoFileComp
		}
		return o.serviceNames(), cobra.ShellCompDirectiveNoFileComp
	}
	return c
}

// serviceNames are the services that a council knows; none where it does not answer.
func (o *configOptions) serviceNames() []string {
	f, err := server.LoadConfig(o.councilPath)
	if err != nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), completionTimeout)
	defer cancel()
	a, err := askConfiguration(ctx, f, client.Request{Kind: client.ReadConfiguration})
	if err != nil {
		return nil
	}
	return slices.Sorted(maps.Keys(a.Services))
}

// askConfiguration asks a council what may be asked twice, until it answers or ctx
// ends. An answer that is not known is asked for again.
func askConfiguration(ctx context.Context, f *server.Config, q client.Request) (*client.Response, error) {
	client := client.NewClient(f.Name, f.Addresses())
	defer client.Close()
	for {
		tryCtx, cancel := context.WithTimeout(ctx, configTryTimeout)
		a, err := client.Do(tryCtx, q)
		cancel()
		switch {
		case err == nil && a.Conflict:
			return nil, fmt.Errorf("%w: %s", errConflict, a.Rejection)
		case err == nil && a.Rejection != "":
			return nil, errors.New(a.Rejection)
		case err == nil:
			return a, nil
		}
		select {
		case <-ctx.Done():
			return nil, &unansweredError{err}
		case <-time.After(configRetryPause):
		}
	}
}

// unansweredError is a question without an answer within the time that there was.
type unansweredError struct{ last error }

func (e *unansweredError) Error() string { return e.last.Error() }

// printJSON prints one JSON object, indented.
func (o *configOptions) printJSON(v any) error {
	encoder := json.NewEncoder(o.out)
	encoder.SetEscapeHTML(false)
	encoder.SetIndent("", "  ")
	return encoder.Encode(v)
}

// putResult is what -json prints of a change that was applied.
type putResult struct {
	Service string `json:"service"`
	Version string `json:"version"`
	ID      string `json:"id"`
}

// configPut changes a service's settings.
func configPut(o *configOptions) *cobra.Command {
	var ifVersion, id string
	c := o.configVerb("put [flags] FILE", "change the settings of a service to those of a file", 1, func(ctx context.Context, f *server.Config, words []string) error {
		change, err := newChange(words[0], id, ifVersion)
		if err != nil {
			return err
		}
		a, err := askConfiguration(ctx, f, client.Request{Kind: client.ChangeConfiguration, Change: change})
		var unanswered *unansweredError
		if errors.As(err, &unanswered) {
			return fmt.Errorf("service %s: not known whether it was changed: %w; the same with -id %s tells, and changes it once", change.Service, err, change.ID)
		}
		if err != nil {
			return err
		}
		result := putResult{Service: change.Service, Version: a.Resource.Version.String(), ID: change.ID}
		if o.asJSON {
			return o.printJSON(result)
		}
		_, err = fmt.Fprintf(o.out, "%s: version %s by change %s\n", result.Service, result.Version, result.ID)
		return err
	})
	c.Flags().StringVar(&ifVersion, "if-version", "", "the version that the service has to have, SPACE.NUMBER; 0 creates it; empty for any")
	c.Flags().StringVar(&id, "id", "", "the change's id, to repeat one by hand: one id is applied once; empty for a new one")
	c.ValidArgsFunction = func(*cobra.Command, []string, string) ([]string, cobra.ShellCompDirective) {
		return []string{"toml"}, cobra.ShellCompDirectiveFilterFileExt
	}
	return c
}

// newChange makes a change of a file and the flags of put.
func newChange(path, id, ifVersion string) (*configuration.Change, error) {
	change := &configuration.Change{ID: id}
	if ifVersion != "" {
		version, err := configuration.ParseVersion(ifVersion)
		if err != nil {
			return nil, fmt.Errorf("%w: -if-version: %w", errUsage, err)
		}
		change.IfVersion = &version
	}
	if id == "" {
		change.ID = fmt.Sprintf("%016x", rand.Uint64())
	}
	if err := configuration.ValidateName("id", change.ID); err != nil {
		return nil, fmt.Errorf("%w: -id: %w", errUsage, err)
	}
	file, err := servicefile.Load(path)
	if err != nil {
		return nil, err
	}
	change.Service, change.Settings = file.Service, file.Settings
	return change, nil
}

// getResult is what -json prints of a service.
type getResult struct {
	Service  string          `json:"service"`
	Version  string          `json:"version"`
	Settings json.RawMessage `json:"settings"`
}

// configGet prints a service's settings as a file that put takes.
func configGet(o *configOptions) *cobra.Command {
	return o.ofService("get SERVICE", "print the settings of a service as a file", func(ctx context.Context, f *server.Config, service string) error {
		a, err := askConfiguration(ctx, f, client.Request{Kind: client.ReadConfiguration, Service: service})
		if err != nil {
			return err
		}
		resource := a.Resource
		if o.asJSON {
			return o.printJSON(getResult{Service: resource.Service, Version: resource.Version.String(), Settings: resource.Settings})
		}
		text, err := servicefile.Encode(&servicefile.File{Service: resource.Service, Settings: resource.Settings})
		if err != nil {
			return fmt.Errorf("service %s: %w", service, err)
		}
		_, err = fmt.Fprintf(o.out, "# version %s\n%s", resource.Version, text)
		return err
	})
}

// listedService is what -json prints of each service.
type listedService struct {
	Service string `json:"service"`
	Version string `json:"version"`
}

// listResult is what -json prints of all services.
type listResult struct {
	Services []listedService `json:"services"`
}

// configList prints the services of a council.
func configList(o *configOptions) *cobra.Command {
	return o.configVerb("list", "print all services with their versions", 0, func(ctx context.Context, f *server.Config, _ []string) error {
		a, err := askConfiguration(ctx, f, client.Request{Kind: client.ReadConfiguration})
		if err != nil {
			return err
		}
		result := listResult{Services: []listedService{}}
		for _, name := range slices.Sorted(maps.Keys(a.Services)) {
			result.Services = append(result.Services, listedService{Service: name, Version: a.Services[name].String()})
		}
		if o.asJSON {
			return o.printJSON(result)
		}
		for _, service := range result.Services {
			fmt.Fprintf(o.out, "%-32s %s\n", service.Service, service.Version)
		}
		_, err = fmt.Fprintln(o.out, plural(len(result.Services), "service", "services"))
		return err
	})
}
