// Package meshpb holds the messages between hosts, generated from mesh.proto.
package meshpb

//go:generate protoc -I . --go_out=.. --go_opt=module=baobabfield.example/wire mesh.proto
