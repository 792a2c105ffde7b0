// Package httpproxy is the HTTP/1.1 front: it takes requests from clients and forwards attempts to endpoints.
//
// The parsers and writers (header.go, chunked.go, frame.go, request.go, response.go) work on byte slices only. The
// sockets (sockets.go, socket.go, listener.go, dial.go) queue events for the event loop. Proxy, in the other files,
// handles these events, reads and writes on the loop's goroutine, and holds all state.
package httpproxy
