package poison

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/linnetrudder/linnetrudder/internal/gossip"
)

func TestCrashNoticesDoNotCirculate(t *testing.T) {
	var first, second Crashes
	require.True(t, first.Add(CrashNotice{Server: "i-1", Age: time.Second, TimeUnknown: true}, t0))
	require.False(t, first.Add(CrashNotice{Server: "i-1"}, t0))
	later := t0.Add(100 * time.Millisecond)
	list := first.Notices(gossip.ToCollector, later)
	require.Equal(t, []CrashNotice{{Server: "i-1", Age: 1100 * time.Millisecond, TimeUnknown: true}}, list)
	list[0].Hops++
	require.True(t, second.Add(list[0], later))
	require.Empty(t, second.Notices(gossip.ToCollector, later), "it came from there")
	require.Len(t, second.Notices(gossip.ToMember, later), 1)
	second.Expire(later.Add(gossip.FactLifetime))
	require.Empty(t, second.Notices(gossip.ToMember, later.Add(gossip.FactLifetime)))
	require.Empty(t, second.times)
}

func TestMalformedCrashNoticesAreInvalid(t *testing.T) {
	require.True(t, CrashNotice{Server: "i-1"}.Valid())
	for _, cn := range []CrashNotice{{}, {Server: "i-1", Age: -1}, {Server: "i-1", Hops: gossip.MaxHops}} {
		require.False(t, cn.Valid())
	}
}

func TestPartsThatOthersSuspectAreHeld(t *testing.T) {
	var pd PartDetector
	weak, strong := Part{Service: "llm", Team: "u", ID: "weak"}, Part{Service: "llm", Team: "u", ID: "strong"}
	request := func(pa Part) Subject { return Subject{Service: pa.Service, Team: pa.Team, Parts: []string{pa.ID}} }
	pd.AddRemoteSuspects([]Suspect{{weak, Weak}, {strong, Strong}}, t0)
	require.Equal(t, HoldBriefly, pd.Hold(request(weak), t0))
	require.Equal(t, HoldUntilDecided, pd.Hold(request(strong), t0))
	require.ElementsMatch(t, []Part{weak, strong}, pd.SuspectedParts(t0))

	pd.Clear(weak, t0, t0)
	require.Equal(t, NoHold, pd.Hold(request(weak), t0), "never cleared there, but here")
	require.Len(t, pd.SuspectedParts(t0), 2, "its clear is reported")

	after := t0.Add(remoteSuspectTTL)
	require.Equal(t, NoHold, pd.Hold(request(strong), after))
	pd.AddRemoteSuspects(nil, after)
	require.Empty(t, pd.remote)
}
