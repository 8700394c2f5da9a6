// Package wire holds the generated protobuf messages and Twirp services of the control
// plane and of the replication of routes and targets between balancers.
package wire

//go:generate sh -c "protoc --plugin=protoc-gen-go=$(go tool -n protoc-gen-go) --plugin=protoc-gen-twirp=$(go tool -n protoc-gen-twirp) --go_out=paths=source_relative:. --twirp_out=paths=source_relative:. control.proto feed.proto"
