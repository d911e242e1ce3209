// Package platform is a small stand-in for the platform: the object API of
// api/platform.yaml over a store in memory, with fault switches and counters.
//
// One goroutine owns the store; the HTTP handlers talk to it by messages.
package platform
