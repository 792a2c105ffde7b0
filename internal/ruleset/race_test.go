//go:build race

package ruleset

// raceDetector reports whether the race detector is on. The package starts no goroutine, so explore visits only a part
// of the states under the much slower race detector.
const raceDetector = true
