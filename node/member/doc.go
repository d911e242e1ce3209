// Package member runs the task that owns the gossip socket, the membership state machine
// and its timer. It receives the events Join, Leave and PlatformHosts, and datagrams of
// other hosts. It sends datagrams, and every membership change to Settings.Changes. A
// datagram is protobuf followed by a message authentication code under the cluster key.
package member
