// Package conf runs the task that owns the configuration of the host. The task
// reads the configuration from the platform and exchanges it with other hosts.
package conf
