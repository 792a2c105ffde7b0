// Package admin has the two servers for operators: the command server, which answers one command per connection, and
// the metrics server, which serves counters, endpoints and Prometheus metrics over HTTP. Each is enabled by its own
// address in the configuration.
package admin
