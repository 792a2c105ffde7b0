// Package daemon runs an instance: it reads the configuration, starts the proxy with its process group, cluster
// membership, metrics server and command server, reloads the configuration on SIGHUP and shuts down on SIGTERM or
// SIGINT. It also runs coordinators.
//
// The configuration of an instance is either the product's own, in TOML, or the platform's: the JSON that the platform
// gives an instance at its start.
package daemon
