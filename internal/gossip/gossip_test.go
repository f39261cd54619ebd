package gossip

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestFactsReachEachGroupOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	var sp FactSet
	for hops := range uint8(MaxHops) {
		sp.Add(fmt.Sprint(hops), hops, now)
	}
	for to, want := range map[Direction]int{ToCollector: 1, BetweenCollectors: 2, ToMember: 3} {
		require.Len(t, sp.Due(to, now), want, to)
		for _, fa := range sp.Due(to, now) {
			require.Equal(t, fa.Key(), fmt.Sprint(fa.Hops()))
		}
	}
}

func TestFactsArePassedOnForAWhile(t *testing.T) {
	now := time.Unix(1000, 0)
	var sp FactSet
	require.False(t, sp.Active("a"))
	sp.Add("a", 0, now)
	require.NotEmpty(t, sp.Due(ToCollector, now.Add(FactLifetime-1)))
	require.Empty(t, sp.Due(ToCollector, now.Add(FactLifetime)))
	sp.Tick(now.Add(FactLifetime - 1))
	require.True(t, sp.Active("a"))
	sp.Tick(now.Add(FactLifetime))
	require.False(t, sp.Active("a"))
}

func TestReportsAreBounded(t *testing.T) {
	now := time.Unix(1000, 0)
	var sp FactSet
	for i := range 10 * MaxFactsPerReport {
		sp.Add(fmt.Sprint(i), 0, now)
	}
	require.Len(t, sp.Due(ToMember, now), MaxFactsPerReport)
}

func TestMalformedNoticesAreRefused(t *testing.T) {
	require.True(t, (&Notice{Server: "s", Hops: MaxHops - 1}).Valid())
	for _, no := range []Notice{{}, {Server: "s", Age: -1}, {Server: "s", Hops: MaxHops}, {Server: "s", Duration: -1}, {Server: "s", Duration: longestNotice + 1}} {
		require.False(t, no.Valid(), "%+v", no)
	}
}
