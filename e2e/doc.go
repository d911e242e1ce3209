// Package e2e holds the end-to-end tests: ordinary PostgreSQL clients, hosts and
// stand-in databases on loopback sockets, under faults.
//
// The module's path lies below that of cmd, whose internal packages it uses.
package e2e
