//go:build !race

package ruleset

const raced = false
