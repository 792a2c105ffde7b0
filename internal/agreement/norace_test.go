//go:build !race

package agreement

const raced = false
