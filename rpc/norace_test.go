//go:build !race

package rpc

const keyCount = 10000
