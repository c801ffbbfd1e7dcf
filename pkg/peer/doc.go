// Package peer implements the protocol between the instances of rosemarywing:
// the messages of peer.proto, a server, and a dialer with pooled connections.
package peer

//go:generate protoc --go_out=. --go_opt=paths=source_relative --go-drpc_out=. --go-drpc_opt=paths=source_relative peer.proto
