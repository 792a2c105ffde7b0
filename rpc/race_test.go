//go:build race

package rpc

// Under the race detector a call takes so long that ten thousand keys outlast the 30 s for which a server that has
// left keeps its slots; daemon and plug-in end that each by its own clock, and choose apart for as long as lies
// between them.
const keyCount = 2000
