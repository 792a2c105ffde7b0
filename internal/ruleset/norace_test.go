//go:build !race

package ruleset

// raceDetector reports whether the race detector is on.
const raceDetector = false
