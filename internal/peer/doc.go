// Package peer implements the gRPC calls between the processes of the system:
// connections with mutual TLS, conversions between structs and protobuf messages,
// refusals as status details, and the preset version in requests and replies.
package peer
