package coordination

import (
	"encoding/json"
	"errors"

	"otterspring/internal/fleet/configuration"
)

// configurationVersion is the first version of commands and state that includes the
// configuration.
const configurationVersion = 2

// NewConfigurationChange returns the command for a change. It returns an error if the
// change is invalid regardless of the current configuration.
func NewConfigurationChange(change configuration.Change) (Command, error) {
	if err := change.Validate(); err != nil {
		return Command{}, err
	}
	data, err := json.Marshal(change)
	if err != nil {
		return Command{}, err
	}
	return Command{Version: configurationVersion, Kind: ChangeConfiguration, Data: data}, nil
}

// ConfigurationStore returns the configuration, which callers must not modify. It is
// empty until the first change.
func (s *State) ConfigurationStore() *configuration.Store {
	if s.Configuration == nil {
		return &configuration.Store{}
	}
	return s.Configuration
}

// DryRunConfigurationChange returns the result that a ChangeConfiguration command would
// have now, without changing the state.
func (s *State) DryRunConfigurationChange(command Command) Result {
	scratch := State{TokenSpace: s.TokenSpace, Configuration: s.ConfigurationStore().Clone()}
	return scratch.applyConfigurationChange(command)
}

// mutableConfiguration returns the configuration for modification. It also raises the
// version of the state. Only programs that support configurationVersion can then read the
// state.
func (s *State) mutableConfiguration() *configuration.Store {
	if s.Configuration == nil {
		s.Configuration = &configuration.Store{}
	}
	s.Version = max(s.Version, configurationVersion)
	return s.Configuration
}

func (s *State) applyConfigurationChange(command Command) Result {
	if command.Version < configurationVersion {
		return reject("configuration change requires command version %d, got %d", configurationVersion, command.Version)
	}
	var change configuration.Change
	if err := json.Unmarshal(command.Data, &change); err != nil {
		return reject("configuration: %v", err)
	}
	version, err := s.mutableConfiguration().Apply(s.TokenSpace, change)
	if err != nil {
		var conflict *configuration.ConflictError
		return Result{Rejection: err.Error(), Conflict: errors.As(err, &conflict)}
	}
	return Result{Version: version}
}

// advanceTokenSpace raises the token space to that of a token that a receiver has seen.
func (s *State) advanceTokenSpace(space uint32) {
	if space <= s.TokenSpace {
		return
	}
	s.TokenSpace = space
	// If there is no configuration, none is created here. Members of version 1 do not create
	// a configuration, so their state would differ.
	if s.Configuration != nil {
		s.Configuration.StartTokenSpace(space)
	}
}
