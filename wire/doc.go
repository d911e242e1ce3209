// Package wire holds the packages that encode messages and stored objects: PostgreSQL,
// protobuf and JSON to and from the types of the core. They make no decisions and own no
// sockets.
package wire
