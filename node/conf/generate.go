package conf

//go:generate protoc --plugin=protoc-gen-go=../../.bin/protoc-gen-go --go_out=confpb --go_opt=paths=source_relative -I confpb conf.proto
