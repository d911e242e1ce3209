// Package platform is a small stand-in for the platform's store: versioned objects
// by kind and name with conditional updates and watches, spoken over HTTP as its
// published protocol says, with fault switches and counters.
//
// One goroutine owns the objects; the HTTP handlers talk to it by messages.
package platform
