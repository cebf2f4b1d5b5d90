// Package controlpb holds the generated code of the protocol between the daemons, and the conversions,
// connections and authorization that belong to it.
package controlpb

//go:generate protoc --go_out=. --go_opt=paths=source_relative --go-grpc_out=. --go-grpc_opt=paths=source_relative control.proto
