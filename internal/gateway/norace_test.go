//go:build !race

package gateway

// raceSlowdown is about how much slower the race detector makes a test.
const raceSlowdown = 1
