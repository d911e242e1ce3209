// Package config decides what configuration is in force: versioned objects
// that never revert, their distribution among the hosts, and the plans by which
// operators change them.
package config
