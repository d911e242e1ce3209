// Package wire holds the encodings of messages and stored objects: PostgreSQL, protobuf
// and JSON to and from the types of the core. Decisions are taken in the core.
package wire
