// Package types defines the types that all packages of baobabfield share:
// identifiers, time, terms and log positions, object specifications and the
// outcomes of requests.
//
// Like all of core, the package performs no input or output: it does not
// read clocks, start goroutines or use channels.
package types
