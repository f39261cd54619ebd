package truetime

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var t0 = time.Unix(1000, 0)

// machine is a machine whose wall clock can be set.
type machine struct {
	es  Estimator
	set time.Duration
}

func (ma *machine) observe(now time.Time) { ma.es.Observe(now.Add(ma.set), now) }

func TestClockThatIsSetForAWhileIsIgnored(t *testing.T) {
	for _, set := range []time.Duration{-4 * time.Second, 3 * time.Second} {
		ma := &machine{}
		ma.observe(t0)
		for i := range 200 {
			now := t0.Add(time.Duration(i) * 100 * time.Millisecond)
			ma.set = 0
			if i > 50 && i < 150 {
				ma.set = set
			}
			ma.observe(now)
			require.Equal(t, now, ma.es.Now(now))
		}
	}
}

func TestClockThatStaysSetIsFollowed(t *testing.T) {
	ma := &machine{}
	ma.observe(t0)
	ma.set = time.Second
	now := t0
	for range 400 {
		now = now.Add(100 * time.Millisecond)
		ma.observe(now)
	}
	require.Equal(t, now.Add(time.Second), ma.es.Now(now))
}

func TestMachineThatStartsWithAWrongClockFollowsTheMajority(t *testing.T) {
	ma := &machine{set: 5 * time.Second}
	ma.observe(t0)
	ma.es.ObservePeer(1, t0.Add(time.Millisecond), t0)
	ma.es.ObservePeer(2, t0, t0)
	require.Equal(t, t0.Add(time.Millisecond), ma.es.Now(t0))
	require.Equal(t, t0.Add(5*time.Second), ma.es.Own(t0), "others get its own time")
	later := t0.Add(peerTTL)
	require.Equal(t, later.Add(5*time.Second), ma.es.Now(later), "without the others")
}

func TestReferenceOfTheCollectorIsPreferred(t *testing.T) {
	ma := &machine{set: 5 * time.Second}
	ma.observe(t0)
	ma.es.SetReference(t0, t0)
	require.Equal(t, t0.Add(time.Second), ma.es.Now(t0.Add(time.Second)))
	later := t0.Add(referenceTTL)
	require.Equal(t, later.Add(5*time.Second), ma.es.Now(later))
}
