// Package admin has the two servers for operators: the command server, with one command and one answer a connection,
// and the metrics server, with counters, endpoints and Prometheus metrics over HTTP. Each has an address of its own,
// and is off where there is none.
package admin
