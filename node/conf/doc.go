// Package conf is the task that owns the configuration of the host and its
// exchange with the platform and with other hosts.
package conf
