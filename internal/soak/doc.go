// Package soak runs sidecars as processes of their own under faults in servers, clients, the endpoint list and the
// processes themselves, and checks what clients and servers saw against the rules of the protocol. A run is drawn from
// a seed. The package shares no parser and no state with the sidecar: it reads messages with net/http.
//
//   - Plan says what happens in a run; plans are named, or drawn from the seed.
//   - server is a scripted HTTP server; the query of each request tells it how to behave.
//   - client sends one request at a time and classifies the answers; crowd is a group of clients that misbehave.
//   - sidecar is one sidecar: a process, or two while a new version takes over.
//   - Judge collects what was seen and reports broken rules.
package soak
