// Package memberpb holds the gossip messages between hosts, generated from member.proto.
package memberpb
