// Package peerpb holds the messages between gateways, generated from peer.proto.
package peerpb

//go:generate sh -c "protoc --plugin=protoc-gen-go=$(go tool -n protoc-gen-go) --go_out=. --go_opt=paths=source_relative peer.proto"
