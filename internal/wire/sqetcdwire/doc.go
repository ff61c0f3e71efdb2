// Package sqetcdwire is the subset of etcd v3's published gRPC API that a
// daemon speaks with the platform.
package sqetcdwire
