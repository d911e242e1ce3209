package member

//go:generate protoc --plugin=protoc-gen-go=../../.bin/protoc-gen-go --go_out=memberpb --go_opt=paths=source_relative -I memberpb member.proto
