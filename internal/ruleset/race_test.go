//go:build race

package ruleset

// raceDetector: there is no goroutine here, so the race detector sees a part of the states only.
const raceDetector = true
