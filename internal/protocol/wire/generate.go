// Package wire holds the messages between the balancers' own processes and the
// generated Twirp services that carry them.
package wire

//go:generate sh -c "protoc --plugin=protoc-gen-go=$(go tool -n protoc-gen-go) --plugin=protoc-gen-twirp=$(go tool -n protoc-gen-twirp) --go_out=paths=source_relative:. --twirp_out=paths=source_relative:. control.proto feed.proto"
