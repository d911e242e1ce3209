// Package config manages the configuration: versioned objects that never revert
// to an earlier version, their distribution to all hosts, and the plans with which
// operators change them.
package config
