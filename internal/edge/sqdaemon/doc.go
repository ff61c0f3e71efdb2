// Package sqdaemon builds a daemon of its parts, runs it, and stops it without
// cutting a request.
package sqdaemon
