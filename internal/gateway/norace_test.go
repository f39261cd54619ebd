//go:build !race

package gateway

const (
	// largeCluster is the number of gateways of the largest clusters in tests.
	largeCluster = 300
	// playEach is the number of plays of which one is made.
	playEach = 1
)
