// Package controlpb is the generated code of the protocol between the daemons.
package controlpb

//go:generate protoc --go_out=. --go_opt=paths=source_relative --go-grpc_out=. --go-grpc_opt=paths=source_relative control.proto
