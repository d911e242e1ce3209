// Package wire holds encodings only: PostgreSQL messages and protobuf to and
// from the types of core.
package wire
