package coordination

import (
	"encoding/json"
	"errors"

	"otterspring/internal/fleet/configuration"
)

// configurationVersion is the version of commands and state from which on there is a
// configuration.
const configurationVersion = 2

// NewConfigurationChange returns the command for a change. Its error says why no
// cluster can apply the change, whatever its configuration is.
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

// ConfigurationStore returns the configuration, to be read only. It is empty before the
// first change.
func (s *State) ConfigurationStore() *configuration.Store {
	if s.Configuration == nil {
		return &configuration.Store{}
	}
	return s.Configuration
}

// DryRunConfigurationChange returns what a command of kind ChangeConfiguration would
// come to now. The state does not change.
func (s *State) DryRunConfigurationChange(command Command) Result {
	trial := State{TokenSpace: s.TokenSpace, Configuration: s.ConfigurationStore().Clone()}
	return trial.applyConfigurationChange(command)
}

// mutableConfiguration returns the configuration to be changed. From then on only
// programs of configurationVersion can read the state.
func (s *State) mutableConfiguration() *configuration.Store {
	if s.Configuration == nil {
		s.Configuration = &configuration.Store{}
	}
	s.Version = max(s.Version, configurationVersion)
	return s.Configuration
}

func (s *State) applyConfigurationChange(command Command) Result {
	if command.Version < configurationVersion {
		return reject("configuration: found a command of version %d, wanted %d", command.Version, configurationVersion)
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

// advanceTokenSpace takes a token space that a receiver has seen.
func (s *State) advanceTokenSpace(space uint32) {
	if space <= s.TokenSpace {
		return
	}
	s.TokenSpace = space
	if s.Configuration != nil { // members of version 1 have none, and must not diverge
		s.Configuration.StartTokenSpace(space)
	}
}
