package rollout

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func boxes(n int) []string {
	list := make([]string, n)
	for i := range list {
		list[i] = fmt.Sprint("box", i)
	}
	return list
}

func TestGatewaysStoreTheFirstPhaseInSequence(t *testing.T) {
	all, first := boxes(30), map[string]bool{}
	for order := range uint64(50) {
		delays := map[time.Duration]int{}
		for _, box := range all {
			wait := StoreDelay(box, all, len(all), order, Waiting)
			delays[wait]++
			if wait == 0 {
				first[box] = true
			}
		}
		require.Equal(t, map[time.Duration]int{0: 1, positionDelay: 1, 2 * positionDelay: 28}, delays)
	}
	require.Greater(t, len(first), 20, "the first gateway differs by order")
}

// Later phases are stored without a delay: when gateways waited for the first one in a sequence,
// which had learned of the order up to a second late, they missed the deadline.
func TestLaterPhasesAreStoredAtOnce(t *testing.T) {
	for _, box := range boxes(5) {
		for _, ph := range []Phase{Trying, Shifting, Complete, Failed} {
			require.Zero(t, StoreDelay(box, boxes(5), 5, 7, ph))
		}
	}
}

func TestUnlistedGatewayStoresLast(t *testing.T) {
	require.Equal(t, 2*positionDelay, StoreDelay("new", boxes(5), 6, 7, Waiting))
	require.Equal(t, 2*positionDelay, StoreDelay("new", nil, 1, 7, Waiting), "other gateways may exist")
}

// Without the spread, 103 gateways stored each later phase 103 times.
func TestFewOfManyGatewaysStoreALaterPhase(t *testing.T) {
	all := boxes(103)
	for order := range uint64(20) {
		first, early := maxSpread, 0
		for _, box := range all {
			wait := StoreDelay(box, all, len(all), order, Complete)
			require.LessOrEqual(t, wait, maxSpread)
			first = min(first, wait)
			if wait < 100*time.Millisecond {
				early++
			}
		}
		require.Less(t, first, 80*time.Millisecond, "the first gateway stores the phase soon")
		require.Less(t, early, 25, "most gateways receive the phase before their own write is due")
	}
}
