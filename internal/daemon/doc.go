// Package daemon reads an instance's configuration, starts the instance with all that surrounds it and ends it on a
// signal.
package daemon
