// Package sqdaemon builds a daemon of its parts, runs it, and stops it without
// cutting a request.
//
// The order of a planned stop is what keeps that promise: first the daemon
// says that it leaves, while it still serves; then its shards go to their next
// keepers; then callers' connections are closed as they fall idle, the calls
// of its own targets end, nested calls last; and only then the peers' side
// closes.
package sqdaemon
