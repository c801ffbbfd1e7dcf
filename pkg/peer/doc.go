// Package peer is the protocol between the instances of rosemarywing: the
// messages of peer.proto, and the connections that carry them.
package peer

//go:generate protoc --go_out=. --go_opt=paths=source_relative --go-drpc_out=. --go-drpc_opt=paths=source_relative peer.proto
