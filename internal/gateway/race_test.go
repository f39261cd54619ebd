//go:build race

package gateway

const (
	// largeCluster is the number of gateways of the largest clusters in tests. The race detector can't track
	// the goroutines of 300.
	largeCluster = 60
	// playEach is the number of plays of which the race detector sees one.
	playEach = 7
)
