// Package daemon runs an instance: it reads the configuration, starts the proxy with its process group, cluster
// membership, metrics server and command server, reloads the configuration on SIGHUP and shuts down on SIGTERM or
// SIGINT. It also runs coordinators.
package daemon
