// Package wire holds the protobuf messages that madderpond's processes exchange
// and store on disk, the conversions between them and the types of the core
// packages, and the division of large messages into fragments.
package wire

//go:generate protoc --go_out=. --go_opt=paths=source_relative wire.proto
