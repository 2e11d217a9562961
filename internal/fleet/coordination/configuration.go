package coordination

import (
	"encoding/json"
	"errors"

	"otterspring/internal/fleet/configuration"
)

// configureVersion is the version of commands and state from which on there is a
// configuration.
const configureVersion = 2

// NewConfigurationChange returns the command that asks for a change, or why no council can
// agree on it, whatever its configuration holds.
func NewConfigurationChange(change configuration.Change) (Command, error) {
	if err := change.Validate(); err != nil {
		return Command{}, err
	}
	data, err := json.Marshal(change)
	if err != nil {
		return Command{}, err
	}
	return Command{Version: configureVersion, Kind: ChangeConfiguration, Data: data}, nil
}

// ConfigurationStore returns the configuration, to be read only. It is empty before the
// first change.
func (s *State) ConfigurationStore() *configuration.Store {
	if s.Configuration == nil {
		return &configuration.Store{}
	}
	return s.Configuration
}

// DryRunConfigurationChange returns what a command of kind Configure would come to now. The state
// stays as it is.
func (s *State) DryRunConfigurationChange(c Command) Result {
	trial := State{TokenSpace: s.TokenSpace, Configuration: s.ConfigurationStore().Clone()}
	return trial.applyConfigure(c)
}

// store returns the configuration to be changed. A state that has one is read by
// programs of configureVersion only.
func (s *State) store() *configuration.Store {
	if s.Configuration == nil {
		s.Configuration = &configuration.Store{}
	}
	s.Version = max(s.Version, configureVersion)
	return s.Configuration
}

func (s *State) applyConfigure(c Command) Result {
	if c.Version < configureVersion {
		return refuse("configure: found a command of version %d, wanted %d", c.Version, configureVersion)
	}
	var change configuration.Change
	if err := json.Unmarshal(c.Data, &change); err != nil {
		return refuse("configure: %v", err)
	}
	version, err := s.store().Apply(s.TokenSpace, change)
	if err != nil {
		var conflict *configuration.ConflictError
		return Result{Rejection: err.Error(), Conflict: errors.As(err, &conflict)}
	}
	return Result{Version: version}
}

// raiseSpace takes an epoch space that the council has not begun by itself.
func (s *State) raiseSpace(space uint32) {
	if space <= s.TokenSpace {
		return
	}
	s.TokenSpace = space
	if s.Configuration != nil { // members of version 1 have none, and come to the same
		s.Configuration.StartTokenSpace(space)
	}
}
