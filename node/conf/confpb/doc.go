// Package confpb holds the configuration messages between hosts, generated from
// conf.proto.
package confpb
