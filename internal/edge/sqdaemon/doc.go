// Package sqdaemon assembles a daemon from its components, runs it, and stops it
// gracefully.
//
// The order of a planned stop ensures that it aborts no request. While the daemon still
// serves, it announces that it leaves and hands its shards over to their next keepers.
// From the beginning it passes on only requests that end in time.
// Then it closes callers' connections as they become idle and waits until the calls at
// its own targets have ended. Next it closes the address at which these make nested
// calls, and only then does it stop serving its peers.
package sqdaemon
