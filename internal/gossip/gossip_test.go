package gossip

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestFactsReachEachGroupOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	var fs FactSet
	for hops := range uint8(MaxHops) {
		fs.Add(fmt.Sprint(hops), hops, now)
	}
	for di, want := range map[Direction]int{ToCollector: 1, BetweenCollectors: 2, ToMember: 3} {
		require.Len(t, fs.Due(di, now), want, di)
		for _, fa := range fs.Due(di, now) {
			require.Equal(t, fa.Key(), fmt.Sprint(fa.Hops()))
		}
	}
}

func TestFactsExpire(t *testing.T) {
	now := time.Unix(1000, 0)
	var fs FactSet
	require.False(t, fs.Active("a"))
	fs.Add("a", 0, now)
	require.NotEmpty(t, fs.Due(ToCollector, now.Add(FactLifetime-1)))
	require.Empty(t, fs.Due(ToCollector, now.Add(FactLifetime)))
	fs.Tick(now.Add(FactLifetime - 1))
	require.True(t, fs.Active("a"))
	fs.Tick(now.Add(FactLifetime))
	require.False(t, fs.Active("a"))
}

func TestReportsAreBounded(t *testing.T) {
	now := time.Unix(1000, 0)
	var fs FactSet
	for i := range 10 * MaxFactsPerReport {
		fs.Add(fmt.Sprint(i), 0, now)
	}
	require.Len(t, fs.Due(ToMember, now), MaxFactsPerReport)
}

func TestMalformedNoticesAreRefused(t *testing.T) {
	require.True(t, (&Notice{Server: "s", Hops: MaxHops - 1}).Valid())
	for _, no := range []Notice{{}, {Server: "s", Age: -1}, {Server: "s", Hops: MaxHops}, {Server: "s", Duration: -1}, {Server: "s", Duration: maxNoticeDuration + 1}} {
		require.False(t, no.Valid(), "%+v", no)
	}
}
