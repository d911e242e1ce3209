// Package types holds the values that every part of baobabfield shares:
// identifiers, time, terms and log positions, and the outcomes of requests.
//
// The package, like all of core, performs no input or output: it does not
// read clocks, start goroutines or use channels.
package types
