// Package operatorconfig reads the operator's file, deploy/operator.toml: what is
// enabled beyond the platform's configuration of the sidecar. Without the file, and
// without a section, that subsystem is off.
//
// Each section is a struct, with defaults that apply once the section is there;
// docs/operate has a page for each. The keys of the file are in the struct tags.
package operatorconfig
