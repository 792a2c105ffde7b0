//go:build race

package agreement

// raced: there is no goroutine here, so the race detector is shown a part of the scenes only.
const raced = true
