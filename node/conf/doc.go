// Package conf runs the task that owns the configuration of the host. The task owns
// the distributor of core/config, its timer and the watch of the platform's store.
//
// It receives the changes of the live hosts, payloads of other hosts, and the objects
// that this host has written. It sends every new configuration to Settings.Changes and
// payloads to other hosts. Payloads are protobuf, compressed if they are large. Calls to
// the platform run in goroutines of their own.
package conf
