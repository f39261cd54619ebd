package gossip

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestFactsReachEachGroupOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	var sp Spread
	for hops := range uint8(MostHops) {
		sp.Learn(fmt.Sprint(hops), hops, now)
	}
	for to, want := range map[Peer]int{ToCollector: 1, BetweenCollectors: 2, ToMember: 3} {
		require.Len(t, sp.Due(to, now), want, to)
		for _, fa := range sp.Due(to, now) {
			require.Equal(t, fa.Key(), fmt.Sprint(fa.Hops()))
		}
	}
}

func TestFactsArePassedOnForAWhile(t *testing.T) {
	now := time.Unix(1000, 0)
	var sp Spread
	require.False(t, sp.Spreads("a"))
	sp.Learn("a", 0, now)
	require.NotEmpty(t, sp.Due(ToCollector, now.Add(KeepFor-1)))
	require.Empty(t, sp.Due(ToCollector, now.Add(KeepFor)))
	sp.Tick(now.Add(KeepFor - 1))
	require.True(t, sp.Spreads("a"))
	sp.Tick(now.Add(KeepFor))
	require.False(t, sp.Spreads("a"))
}

func TestReportsAreBounded(t *testing.T) {
	now := time.Unix(1000, 0)
	var sp Spread
	for i := range 10 * MostPerReport {
		sp.Learn(fmt.Sprint(i), 0, now)
	}
	require.Len(t, sp.Due(ToMember, now), MostPerReport)
}

func TestMalformedNoticesAreRefused(t *testing.T) {
	require.True(t, (&Notice{Server: "s", Hops: MostHops - 1}).Valid())
	for _, no := range []Notice{{}, {Server: "s", Age: -1}, {Server: "s", Hops: MostHops}, {Server: "s", Lasts: -1}, {Server: "s", Lasts: longestNotice + 1}} {
		require.False(t, no.Valid(), "%+v", no)
	}
}
