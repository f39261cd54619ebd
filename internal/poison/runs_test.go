package poison

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var t0 = time.Unix(1000, 0)

func after(ms int) time.Time { return t0.Add(time.Duration(ms) * time.Millisecond) }

func named(name string) Fingerprint { return FingerprintOf(Request{Target: name}) }

// ended returns the ids of the requests that are suspected of a server's end.
func ended(rs *Runs, server string, now time.Time) []string {
	var ids []string
	runs, _ := rs.Crashed(server, now)
	for _, ru := range runs {
		ids = append(ids, ru.RequestID())
	}
	return ids
}

func TestCopiesHaveTheSamePrint(t *testing.T) {
	re := Request{Team: "t", Method: "POST", Host: "h", Target: "/a?b", Body: []byte("c")}
	pr := FingerprintOf(re)
	require.Equal(t, pr, FingerprintOf(re))
	for _, other := range []Request{
		{Team: "u", Method: "POST", Host: "h", Target: "/a?b", Body: []byte("c")},
		{Team: "t", Method: "PUT", Host: "h", Target: "/a?b", Body: []byte("c")},
		{Team: "t", Method: "POST", Host: "g", Target: "/a?b", Body: []byte("c")},
		{Team: "t", Method: "POST", Host: "h", Target: "/a?bc"},
		{Team: "tP", Method: "OST", Host: "h", Target: "/a?b", Body: []byte("c")},
	} {
		require.NotEqual(t, pr, FingerprintOf(other))
	}
	read, err := ParseFingerprint(pr.String())
	require.NoError(t, err)
	require.Equal(t, pr, read)
	for _, text := range []string{"", "0g", pr.String()[2:], pr.String() + "00"} {
		_, err := ParseFingerprint(text)
		require.Error(t, err, text)
	}
	require.Empty(t, Fingerprint{}.String())
}

func TestWhatBeganJustBeforeTheEndIsSuspected(t *testing.T) {
	var rs Runs
	old := rs.Sent("s", named("old"), "old", after(0))
	rs.Answered(old, after(100))
	rs.Sent("s", named("waits"), "waits", after(2000))
	began := rs.Sent("s", named("began"), "began", after(2000))
	rs.Answered(began, after(2100))
	late := rs.Sent("s", named("late"), "late", after(2505))
	late.Finish(false, after(2506))
	rs.Sent("other", named("elsewhere"), "elsewhere", after(2400))
	rs.Disconnected("s", after(2500))
	rs.Disconnected("s", after(2501))
	require.Equal(t, []string{"waits", "began"}, ended(&rs, "s", after(2510)))
	require.Empty(t, ended(&rs, "s", after(2520)), "once")
	require.True(t, rs.HasServer("other"))
}

// An answer that is not sure is dropped with its first token, and its server ends a
// moment later, when nothing is open there any more.
func TestWhatWasDroppedJustBeforeTheEndIsSuspected(t *testing.T) {
	var rs Runs
	dropped := rs.Sent("s", named("dropped"), "dropped", after(0))
	rs.Answered(dropped, after(200))
	dropped.Finish(false, after(201))
	gone := rs.Sent("s", named("gone"), "gone", after(0))
	gone.Finish(false, after(10))
	unsent := rs.Sent("s", named("unsent"), "unsent", after(590))
	unsent.MarkUnsent()
	unsent.Finish(false, after(595))
	rs.Disconnected("s", after(600))
	require.Equal(t, []string{"dropped"}, ended(&rs, "s", after(1110)), "noticed when all of them are over")
}

// Four servers that end together, of which a request had left two and a half a second before.
func TestWhatMovedOnInTimeIsNoSuspect(t *testing.T) {
	var rs Runs
	for _, server := range []string{"a", "b"} {
		ru := rs.Sent(server, named("moved"), "moved", after(0))
		rs.Answered(ru, after(100))
		ru.Finish(false, after(110))
		rs.Disconnected(server, after(700))
		require.Empty(t, ended(&rs, server, after(710)))
	}
}

func TestAnEndThatIsNoticedLateReachesFurtherBack(t *testing.T) {
	var rs Runs
	ru := rs.Sent("s", named("dropped"), "dropped", after(0))
	rs.Answered(ru, after(200))
	ru.Finish(true, after(300))
	require.Empty(t, rs.Prune(after(3000)))
	require.Equal(t, []string{"dropped"}, ended(&rs, "s", after(3100)))
}

func TestWhatIsOverIsForgotten(t *testing.T) {
	var rs Runs
	rs.Sent("s", named("whole"), "whole", after(0)).Finish(true, after(100))
	rs.Sent("s", named("runs"), "runs", after(0))
	require.Empty(t, rs.Prune(after(100+int(kept.Milliseconds())-1)))
	require.Empty(t, rs.Prune(after(100+int(kept.Milliseconds()))), "nothing was heard of its server since")
	require.Equal(t, []string{"runs"}, ended(&rs, "s", after(9000)))
}

func TestAServerThatAnswersLaterHasTakenNoHarm(t *testing.T) {
	var rs Runs
	rs.Sent("s", named("whole"), "whole", after(0)).Finish(true, after(100))
	rs.Sent("s", named("dropped"), "dropped", after(0)).Finish(false, after(100))
	later := rs.Sent("s", named("later"), "later", after(400))
	rs.Answered(later, after(590))
	require.Empty(t, rs.Prune(after(595)))
	rs.Answered(rs.Sent("s", named("last"), "last", after(500)), after(600))
	require.Equal(t, []Fingerprint{named("whole")}, rs.Prune(after(600)))
	require.Equal(t, []string{"later", "last"}, ended(&rs, "s", after(610)))
}

func TestAServerThatLivesAfterABreakHasNotEndedThen(t *testing.T) {
	var rs Runs
	require.False(t, rs.IsDisconnected("s", after(0)))
	rs.Disconnected("s", after(0))
	require.True(t, rs.IsDisconnected("s", after(0)))
	require.False(t, rs.IsDisconnected("s", after(0).Add(kept)), "long ago")
	rs.Alive("s", t0)
	require.False(t, rs.IsDisconnected("s", after(0)))
	ru := rs.Sent("s", named("a"), "a", after(3000))
	rs.Answered(ru, after(3100))
	require.Equal(t, []string{"a"}, ended(&rs, "s", after(3200)), "the break long before is not the end")
	rs.Alive("unknown", t0)
}
