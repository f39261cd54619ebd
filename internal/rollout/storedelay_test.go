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

func TestGatewaysStoreTheBeginningInTurn(t *testing.T) {
	all, firsts := boxes(30), map[string]bool{}
	for order := range uint64(50) {
		turns := map[time.Duration]int{}
		for _, box := range all {
			wait := StoreDelay(box, all, len(all), order, Waiting)
			turns[wait]++
			if wait == 0 {
				firsts[box] = true
			}
		}
		require.Equal(t, map[time.Duration]int{0: 1, turnPause: 1, 2 * turnPause: 28}, turns)
	}
	require.Greater(t, len(firsts), 20, "the first one is not always the same")
}

// Seen on a grown site: gateways heard of an order up to a second late, the first in
// line among them, and the others' wait for it missed the deadline.
func TestLaterPhasesAreStoredAtOnce(t *testing.T) {
	for _, box := range boxes(5) {
		for _, ph := range []Phase{Trying, Shifting, Complete, Failed} {
			require.Zero(t, StoreDelay(box, boxes(5), 5, 7, ph))
		}
	}
}

func TestAGatewayThatIsNoMemberStoresLast(t *testing.T) {
	require.Equal(t, 2*turnPause, StoreDelay("new", boxes(5), 6, 7, Waiting))
	require.Equal(t, 2*turnPause, StoreDelay("new", nil, 1, 7, Waiting), "nor does it know that there is no other")
}

// A hundred gateways stored each later phase a hundred times.
func TestOfManyGatewaysFewStoreALaterPhase(t *testing.T) {
	all := boxes(103)
	for order := range uint64(20) {
		first, early := mostSpread, 0
		for _, box := range all {
			wait := StoreDelay(box, all, len(all), order, Complete)
			require.LessOrEqual(t, wait, mostSpread)
			first = min(first, wait)
			if wait < 100*time.Millisecond {
				early++
			}
		}
		require.Less(t, first, 80*time.Millisecond, "the first one hardly waits")
		require.Less(t, early, 25, "most have heard of it before their time")
	}
}
