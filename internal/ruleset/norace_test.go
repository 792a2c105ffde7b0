//go:build !race

package ruleset

const raceDetector = false
