// Package config manages the configuration of "baobabd serve": versioned objects that
// never revert to an earlier version, their distribution to all hosts, and the plans
// with which operators change them.
//
// A Distributor keeps the copy of one host up to date. Its events are messages of other
// hosts and objects read from the platform, whose store holds the authoritative copy.
// Its effects are messages to other hosts, requests to the platform and new snapshots.
// The relays, up to two hosts of each data centre, watch the platform and push its
// changes to the other hosts.
//
// BuildPlan turns the intent of an operator into a plan, which lists the updates and
// what they stop. A Confirmation stores the updates of a plan that the operator
// confirms.
package config
