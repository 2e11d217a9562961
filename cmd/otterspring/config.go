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

// errConflict is returned for a change whose expected version is not the service's
// current one.
var errConflict = errors.New("version conflict")

// Timeouts of the config command.
const (
	configAttemptTimeout   = 10 * time.Second      // time limit of one attempt of a request
	configBackoff          = 50 * time.Millisecond // pause between two attempts
	shellCompletionTimeout = 2 * time.Second       // time limit of the request for service names for shell completion
	defaultConfigTimeout   = 30 * time.Second
)

// configOptions holds the flags that all verbs of "config" share.
type configOptions struct {
	clusterPath string // path of the coordination cluster's file
	asJSON      bool
	timeout     time.Duration
	out         io.Writer
}

// configCommand returns `otterspring config` with its verbs.
func configCommand(out io.Writer) *cobra.Command {
	options := &configOptions{out: out}
	command := cli.NewGroup("config", "change and read the settings of services, and show where they are in force",
		"config changes the settings of a region's services in its council (docs/operate/configuration.md), from\n"+
			"where relays distribute them to all sidecars. Exit codes: 0 success, 1 the request was rejected or failed,\n"+
			"2 usage, 3 the service's version is not the one of -if-version.",
		configPut(options), configGet(options), configList(options), configStatus(options))
	flags := command.PersistentFlags()
	flags.StringVar(&options.clusterPath, "council", "", "the council's file")
	flags.BoolVar(&options.asJSON, "json", false, "print one JSON object")
	flags.DurationVar(&options.timeout, "timeout", defaultConfigTimeout, "time limit of the command")
	return command
}

// verb returns a verb of the command "config" that takes argCount arguments. The context
// passed to run expires after the value of the flag -timeout.
func (o *configOptions) verb(use, short string, argCount int, run func(ctx context.Context, config *server.Config, args []string) error) *cobra.Command {
	command := &cobra.Command{Use: use, Short: short, DisableFlagsInUseLine: true}
	command.RunE = func(_ *cobra.Command, args []string) error {
		if len(args) != argCount {
			return fmt.Errorf("%w: config %s: found %s, wanted: %s", errUsage, command.Name(), plural(len(args), "word", "words"), use)
		}
		if o.clusterPath == "" {
			return fmt.Errorf("%w: config %s: found no -council, wanted the council's file", errUsage, command.Name())
		}
		if o.timeout <= 0 {
			return fmt.Errorf("%w: config %s: found -timeout %v, wanted more than 0", errUsage, command.Name(), o.timeout)
		}
		config, err := server.LoadConfig(o.clusterPath)
		if err != nil {
			return err
		}
		ctx, cancel := context.WithTimeout(command.Context(), o.timeout)
		defer cancel()
		return run(ctx, config, args)
	}
	return command
}

// serviceVerb returns a verb of the command "config" whose argument is the name of a service.
// Shell completion of the argument offers the names of all services.
func (o *configOptions) serviceVerb(use, short string, run func(ctx context.Context, config *server.Config, service string) error) *cobra.Command {
	command := o.verb(use, short, 1, func(ctx context.Context, config *server.Config, args []string) error {
		return run(ctx, config, args[0])
	})
	command.ValidArgsFunction = func(c *cobra.Command, args []string, _ string) ([]string, cobra.ShellCompDirective) {
		if len(args) > 0 {
			return nil, cobra.ShellCompDirectiveNoFileComp
		}
		return o.serviceNames(c.Context()), cobra.ShellCompDirectiveNoFileComp
	}
	return command
}

// serviceNames returns the names of all services for shell completion. It returns nil if the
// cluster's file cannot be loaded or the cluster does not respond.
func (o *configOptions) serviceNames(ctx context.Context) []string {
	config, err := server.LoadConfig(o.clusterPath)
	if err != nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, shellCompletionTimeout)
	defer cancel()
	response, err := requestConfiguration(ctx, config, client.Request{Kind: client.ReadConfiguration})
	if err != nil {
		return nil
	}
	return slices.Sorted(maps.Keys(response.Services))
}

// requestConfiguration sends an idempotent request and retries it until the cluster responds
// or ctx is done. It also retries after an attempt with an unknown outcome. The error wraps
// errConflict, is a rejection by the cluster, or is an unansweredError.
func requestConfiguration(ctx context.Context, config *server.Config, request client.Request) (*client.Response, error) {
	cluster := client.NewClient(config.Name, config.Addresses())
	defer cluster.Close()
	for {
		attemptCtx, cancel := context.WithTimeout(ctx, configAttemptTimeout)
		response, err := cluster.Do(attemptCtx, request)
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
			return nil, &unansweredError{err}
		case <-time.After(configBackoff):
		}
	}
}

// unansweredError reports that a request got no response before its deadline. It wraps
// the error of the last attempt.
type unansweredError struct{ cause error }

func (e *unansweredError) Error() string { return e.cause.Error() }

func (e *unansweredError) Unwrap() error { return e.cause }

// printJSON prints v as an indented JSON object.
func (o *configOptions) printJSON(v any) error {
	encoder := json.NewEncoder(o.out)
	encoder.SetEscapeHTML(false)
	encoder.SetIndent("", "  ")
	return encoder.Encode(v)
}

// putResult is the output of "config put -json".
type putResult struct {
	Service string `json:"service"`
	Version string `json:"version"`
	ID      string `json:"id"`
}

// configPut returns the verb "put", which replaces the settings of a service by those in a
// file.
func configPut(options *configOptions) *cobra.Command {
	var ifVersion, id string
	command := options.verb("put [flags] FILE", "change the settings of a service to those of a file", 1, func(ctx context.Context, config *server.Config, args []string) error {
		change, err := newChange(args[0], id, ifVersion)
		if err != nil {
			return err
		}
		result, err := putChange(ctx, config, change)
		if err != nil {
			return err
		}
		if options.asJSON {
			return options.printJSON(result)
		}
		return printf(options.out, "%s: version %s by change %s\n", result.Service, result.Version, result.ID)
	})
	command.Flags().StringVar(&ifVersion, "if-version", "", "the expected current version of the service, SPACE.NUMBER; 0 creates the service; empty for any version")
	command.Flags().StringVar(&id, "id", "", "idempotency key of the change, to retry it by hand: a change is applied once per id; empty generates one")
	command.ValidArgsFunction = func(*cobra.Command, []string, string) ([]string, cobra.ShellCompDirective) {
		return []string{"toml"}, cobra.ShellCompDirectiveFilterFileExt
	}
	return command
}

// putChange sends a change. If the outcome of the change is unknown, the error says how to
// retry the change with the same ID.
func putChange(ctx context.Context, config *server.Config, change *configuration.Change) (*putResult, error) {
	response, err := requestConfiguration(ctx, config, client.Request{Kind: client.ChangeConfiguration, Change: change})
	if _, unanswered := errors.AsType[*unansweredError](err); unanswered {
		return nil, fmt.Errorf("service %s: not known whether it was changed: %w; a retry with -id %s tells, and changes it once", change.Service, err, change.ID)
	}
	if err != nil {
		return nil, err
	}
	return &putResult{Service: change.Service, Version: response.Resource.Version.String(), ID: change.ID}, nil
}

// newChange returns the change that "config put" sends. path is the file with the service's
// settings, id is the idempotency key, and ifVersion is the expected current version. If id is
// empty, a random key is generated. If ifVersion is empty, any current version is accepted.
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

// getResult is the output of "config get -json".
type getResult struct {
	Service  string          `json:"service"`
	Version  string          `json:"version"`
	Settings json.RawMessage `json:"settings"`
}

// configGet returns the verb "get", which prints the settings of a service in the format of
// the files that "config put" reads.
func configGet(options *configOptions) *cobra.Command {
	return options.serviceVerb("get SERVICE", "print the settings of a service as a file", func(ctx context.Context, config *server.Config, service string) error {
		response, err := requestConfiguration(ctx, config, client.Request{Kind: client.ReadConfiguration, Service: service})
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
		return printf(options.out, "# version %s\n%s", resource.Version, text)
	})
}

// listedService is one service in the output of "config list -json".
type listedService struct {
	Service string `json:"service"`
	Version string `json:"version"`
}

// listResult is the output of "config list -json".
type listResult struct {
	Services []listedService `json:"services"`
}

// configList returns the verb "list", which prints all services with their versions.
func configList(options *configOptions) *cobra.Command {
	return options.verb("list", "print all services with their versions", 0, func(ctx context.Context, config *server.Config, _ []string) error {
		response, err := requestConfiguration(ctx, config, client.Request{Kind: client.ReadConfiguration})
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
		output := &printer{out: options.out}
		for _, service := range result.Services {
			output.printf("%-32s %s\n", service.Service, service.Version)
		}
		output.println(plural(len(result.Services), "service", "services"))
		return output.err
	})
}
