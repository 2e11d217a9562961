// Package operatorconfig reads and validates the operator's file of a sidecar: the optional
// features that are enabled in addition to the platform's configuration. An example of the file
// is deploy/operator.toml. A feature whose section is missing is disabled. Without a file, all
// features are disabled.
//
// Each section is a struct whose tags contain the keys of the file and the bounds of the values.
// Defaults returns the values of keys that are not set. docs/operate documents each section.
package operatorconfig
