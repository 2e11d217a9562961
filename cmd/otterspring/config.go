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
	"strings"
	"time"

	"github.com/spf13/cobra"

	"otterspring/internal/cli"
	"otterspring/internal/fleet/configuration"
	"otterspring/internal/fleet/configuration/servicefile"
	"otterspring/internal/fleet/coordination/client"
	"otterspring/internal/fleet/coordination/server"
)

// errConflict is a change whose -if-version is not the version of the service.
var errConflict = errors.New("version conflict")

// Times of the config command's requests to a cluster.
const (
	configRequestTimeout = 10 * time.Second // of one attempt
	configRetryDelay     = 50 * time.Millisecond
	completionTimeout    = 2 * time.Second // of the service names for a shell
)

// configOptions are the flags that all verbs of config share, and their output.
type configOptions struct {
	clusterPath string // of the cluster's file
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
	flags.StringVar(&options.clusterPath, "council", "", "the council's file")
	flags.BoolVar(&options.asJSON, "json", false, "print one JSON object")
	flags.DurationVar(&options.timeout, "timeout", 30*time.Second, "after which it could not be done")
	return command
}

// verb returns a verb of config that takes a number of arguments. run gets the cluster's
// file, and a context that ends with -timeout.
func (o *configOptions) verb(use, short string, argumentCount int, run func(ctx context.Context, cluster *server.Config, arguments []string) error) *cobra.Command {
	command := &cobra.Command{Use: use, Short: short, DisableFlagsInUseLine: true}
	command.RunE = func(_ *cobra.Command, arguments []string) error {
		if len(arguments) != argumentCount {
			return fmt.Errorf("%w: config %s: found %s, wanted: %s", errUsage, command.Name(), plural(len(arguments), "word", "words"), use)
		}
		if o.clusterPath == "" {
			return fmt.Errorf("%w: config %s: found no -council, wanted the council's file", errUsage, command.Name())
		}
		if o.timeout <= 0 {
			return fmt.Errorf("%w: config %s: found -timeout %v, wanted more than 0", errUsage, command.Name(), o.timeout)
		}
		cluster, err := server.LoadConfig(o.clusterPath)
		if err != nil {
			return err
		}
		ctx, cancel := context.WithTimeout(context.Background(), o.timeout)
		defer cancel()
		return run(ctx, cluster, arguments)
	}
	return command
}

// serviceVerb returns a verb of config that takes the name of a service, which shells
// complete.
func (o *configOptions) serviceVerb(use, short string, run func(ctx context.Context, cluster *server.Config, service string) error) *cobra.Command {
	command := o.verb(use, short, 1, func(ctx context.Context, cluster *server.Config, arguments []string) error {
		return run(ctx, cluster, arguments[0])
	})
	command.ValidArgsFunction = func(_ *cobra.Command, arguments []string, _ string) ([]string, cobra.ShellCompDirective) {
		if len(arguments) > 0 {
			return nil, cobra.ShellCompDirectiveNoFileComp
		}
		return o.serviceNames(), cobra.ShellCompDirectiveNoFileComp
	}
	return command
}

// serviceNames returns the services of a cluster; none if it does not respond.
func (o *configOptions) serviceNames() []string {
	cluster, err := server.LoadConfig(o.clusterPath)
	if err != nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), completionTimeout)
	defer cancel()
	response, err := requestConfiguration(ctx, cluster, client.Request{Kind: client.ReadConfiguration})
	if err != nil {
		return nil
	}
	return slices.Sorted(maps.Keys(response.Services))
}

// requestConfiguration sends an idempotent request to a cluster and retries it until
// there is a response or ctx ends, also when its outcome is unknown. It returns
// errConflict, the text of a rejection, or a *noResponseError.
func requestConfiguration(ctx context.Context, cluster *server.Config, request client.Request) (*client.Response, error) {
	caller := client.NewClient(cluster.Name, cluster.Addresses())
	defer caller.Close()
	for {
		attempt, cancel := context.WithTimeout(ctx, configRequestTimeout)
		response, err := caller.Do(attempt, request)
		cancel()
		switch {
		case err == nil && response.Conflict:
			return nil, fmt.Errorf("%w: %s", errConflict, response.Rejection)
		case err == nil && response.Rejection != "":
			return nil, errors.New(response.Rejection)
		case err == nil:
			return response, nil
		}
		select {
		case <-ctx.Done():
			return nil, &noResponseError{err}
		case <-time.After(configRetryDelay):
		}
	}
}

// noResponseError is a request without a response within -timeout. It wraps the error of
// the last attempt.
type noResponseError struct{ attempt error }

func (e *noResponseError) Error() string { return e.attempt.Error() }

func (e *noResponseError) Unwrap() error { return e.attempt }

// printJSON prints one JSON object, indented.
func (o *configOptions) printJSON(value any) error {
	encoder := json.NewEncoder(o.out)
	encoder.SetEscapeHTML(false)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// putResult is the output of put with -json.
type putResult struct {
	Service string `json:"service"`
	Version string `json:"version"`
	ID      string `json:"id"`
}

// configPut changes a service's settings.
func configPut(options *configOptions) *cobra.Command {
	var ifVersion, id string
	command := options.verb("put [flags] FILE", "change the settings of a service to those of a file", 1, func(ctx context.Context, cluster *server.Config, arguments []string) error {
		change, err := newChange(arguments[0], id, ifVersion)
		if err != nil {
			return err
		}
		response, err := requestConfiguration(ctx, cluster, client.Request{Kind: client.ChangeConfiguration, Change: change})
		if _, ok := errors.AsType[*noResponseError](err); ok {
			return fmt.Errorf("service %s: not known whether it was changed: %w; a retry with -id %s shows it, and changes it once at most", change.Service, err, change.ID)
		}
		if err != nil {
			return err
		}
		result := putResult{Service: change.Service, Version: response.Resource.Version.String(), ID: change.ID}
		if options.asJSON {
			return options.printJSON(result)
		}
		_, err = fmt.Fprintf(options.out, "%s: version %s by change %s\n", result.Service, result.Version, result.ID)
		return err
	})
	command.Flags().StringVar(&ifVersion, "if-version", "", "the version that the service has to have, SPACE.NUMBER; 0 creates it; empty for any")
	command.Flags().StringVar(&id, "id", "", "the change's id, to repeat one by hand: one id is applied once; empty for a new one")
	command.ValidArgsFunction = func(*cobra.Command, []string, string) ([]string, cobra.ShellCompDirective) {
		return []string{"toml"}, cobra.ShellCompDirectiveFilterFileExt
	}
	return command
}

// newChange returns the change of a service's file and the flags of put; an empty id is
// replaced by a random one.
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

// getResult is the output of get with -json.
type getResult struct {
	Service  string          `json:"service"`
	Version  string          `json:"version"`
	Settings json.RawMessage `json:"settings"`
}

// configGet prints a service's settings as a file for put.
func configGet(options *configOptions) *cobra.Command {
	return options.serviceVerb("get SERVICE", "print the settings of a service as a file", func(ctx context.Context, cluster *server.Config, service string) error {
		response, err := requestConfiguration(ctx, cluster, client.Request{Kind: client.ReadConfiguration, Service: service})
		if err != nil {
			return err
		}
		resource := response.Resource
		if options.asJSON {
			return options.printJSON(getResult{Service: resource.Service, Version: resource.Version.String(), Settings: resource.Settings})
		}
		text, err := servicefile.Encode(&servicefile.File{Service: resource.Service, Settings: resource.Settings})
		if err != nil {
			return fmt.Errorf("service %s: %w", service, err)
		}
		_, err = fmt.Fprintf(options.out, "# version %s\n%s", resource.Version, text)
		return err
	})
}

// listedService is one service in the output of list with -json.
type listedService struct {
	Service string `json:"service"`
	Version string `json:"version"`
}

// listResult is the output of list with -json.
type listResult struct {
	Services []listedService `json:"services"`
}

// configList prints the services of a cluster.
func configList(options *configOptions) *cobra.Command {
	return options.verb("list", "print all services with their versions", 0, func(ctx context.Context, cluster *server.Config, _ []string) error {
		response, err := requestConfiguration(ctx, cluster, client.Request{Kind: client.ReadConfiguration})
		if err != nil {
			return err
		}
		result := listResult{Services: []listedService{}}
		for _, name := range slices.Sorted(maps.Keys(response.Services)) {
			result.Services = append(result.Services, listedService{Service: name, Version: response.Services[name].String()})
		}
		if options.asJSON {
			return options.printJSON(result)
		}
		var text strings.Builder
		for _, service := range result.Services {
			fmt.Fprintf(&text, "%-32s %s\n", service.Service, service.Version)
		}
		fmt.Fprintln(&text, plural(len(result.Services), "service", "services"))
		_, err = io.WriteString(options.out, text.String())
		return err
	})
}
