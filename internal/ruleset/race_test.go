//go:build race

package ruleset

// raceDetector reports whether the race detector is on. The exploration is much slower then, and visits only a part of
// the states: the package starts no goroutine, so a full exploration would find no more races.
const raceDetector = true
