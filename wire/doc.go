// Package wire holds the encodings of messages and stored objects: PostgreSQL, protobuf
// and JSON to and from the types of the core. It takes no decisions.
package wire
