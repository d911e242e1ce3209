// Package e2e holds the end-to-end tests. They run ordinary PostgreSQL clients, hosts
// and stand-in databases on loopback sockets, with injected faults.
//
// The module path lies below that of cmd because the tests use cmd's internal packages.
package e2e
