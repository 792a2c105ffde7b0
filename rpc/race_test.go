//go:build race

package rpc

// keyCount is lower under the race detector: calls are so slow there that 10,000 keys take longer than the 30 s for
// which an endpoint that has left keeps its slots. The daemon and the plug-in measure the 30 s by their own clocks, and
// choose different endpoints in the time between the two expiries.
const keyCount = 2000
