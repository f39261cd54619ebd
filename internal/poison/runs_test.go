package poison

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/linnetrudder/linnetrudder/internal/buffer"
)

var t0 = time.Unix(1000, 0)

func after(ms int) time.Time { return t0.Add(time.Duration(ms) * time.Millisecond) }

func fingerprint(name string) Fingerprint { return FingerprintOf(Request{Target: name}) }

// crashSuspects returns the ids of the requests that are suspected of a server's crash.
func crashSuspects(rs *Runs, server string, now time.Time) []string {
	runs, _ := rs.Crashed(server, now)
	return requestIDs(runs)
}

func requestIDs(runs []*Run) []string {
	var ids []string
	for _, ru := range runs {
		ids = append(ids, ru.Subject().RequestID)
	}
	return ids
}

// pruned prunes runs and returns the ids of the requests that servers survived.
func pruned(rs *Runs, now time.Time) []string {
	harmless, _ := rs.Prune(now)
	return requestIDs(harmless)
}

func TestCopiesHaveTheSameFingerprint(t *testing.T) {
	re := Request{Team: "t", Method: "POST", Host: "h", Target: "/a?b", Body: buffer.SegmentsOf([]byte("c"))}
	fp := FingerprintOf(re)
	require.Equal(t, fp, FingerprintOf(re))
	for _, other := range []Request{
		{Team: "u", Method: "POST", Host: "h", Target: "/a?b", Body: buffer.SegmentsOf([]byte("c"))},
		{Team: "t", Method: "PUT", Host: "h", Target: "/a?b", Body: buffer.SegmentsOf([]byte("c"))},
		{Team: "t", Method: "POST", Host: "g", Target: "/a?b", Body: buffer.SegmentsOf([]byte("c"))},
		{Team: "t", Method: "POST", Host: "h", Target: "/a?bc"},
		{Team: "tP", Method: "OST", Host: "h", Target: "/a?b", Body: buffer.SegmentsOf([]byte("c"))},
	} {
		require.NotEqual(t, fp, FingerprintOf(other))
	}
	parsed, err := ParseFingerprint(fp.String())
	require.NoError(t, err)
	require.Equal(t, fp, parsed)
	for _, text := range []string{"", "0g", fp.String()[2:], fp.String() + "00"} {
		_, err := ParseFingerprint(text)
		require.Error(t, err, text)
	}
	require.Empty(t, Fingerprint{}.String())
}

func TestRunsBegunShortlyBeforeTheCrashAreSuspected(t *testing.T) {
	var rs Runs
	old := rs.Sent("s", Subject{Fingerprint: fingerprint("old"), RequestID: "old"}, after(0))
	rs.Answered(old, after(100))
	rs.Sent("s", Subject{Fingerprint: fingerprint("queued"), RequestID: "queued"}, after(2000))
	running := rs.Sent("s", Subject{Fingerprint: fingerprint("running"), RequestID: "running"}, after(2000))
	rs.Answered(running, after(2100))
	late := rs.Sent("s", Subject{Fingerprint: fingerprint("late"), RequestID: "late"}, after(2505))
	late.Finish(false, after(2506))
	rs.Sent("other", Subject{Fingerprint: fingerprint("elsewhere"), RequestID: "elsewhere"}, after(2400))
	rs.Disconnected("s", after(2500))
	rs.Disconnected("s", after(2501))
	require.Equal(t, []string{"queued", "running"}, crashSuspects(&rs, "s", after(2510)))
	require.Empty(t, crashSuspects(&rs, "s", after(2520)), "each crash is reported once")
	require.True(t, rs.HasServer("other"))
}

// A gateway may cancel a run at its first token. If the server crashes a moment later, no request
// is open there any more.
func TestRunCancelledShortlyBeforeTheCrashIsSuspected(t *testing.T) {
	var rs Runs
	cancelled := rs.Sent("s", Subject{Fingerprint: fingerprint("cancelled"), RequestID: "cancelled"}, after(0))
	rs.Answered(cancelled, after(200))
	cancelled.Finish(false, after(201))
	early := rs.Sent("s", Subject{Fingerprint: fingerprint("early"), RequestID: "early"}, after(0))
	early.Finish(false, after(10))
	unsent := rs.Sent("s", Subject{Fingerprint: fingerprint("unsent"), RequestID: "unsent"}, after(590))
	unsent.MarkUnsent()
	unsent.Finish(false, after(595))
	rs.Disconnected("s", after(600))
	require.Equal(t, []string{"cancelled"}, crashSuspects(&rs, "s", after(1110)), "detected after all of them finished")
}

// Servers crash together for another reason, more than half a second after a request left them.
func TestRunThatLeftEarlyEnoughIsNotSuspected(t *testing.T) {
	var rs Runs
	for _, server := range []string{"a", "b"} {
		ru := rs.Sent(server, Subject{Fingerprint: fingerprint("retried"), RequestID: "retried"}, after(0))
		rs.Answered(ru, after(100))
		ru.Finish(false, after(110))
		rs.Disconnected(server, after(700))
		require.Empty(t, crashSuspects(&rs, server, after(710)))
	}
}

func TestCrashDetectedLateSuspectsEarlierRuns(t *testing.T) {
	var rs Runs
	ru := rs.Sent("s", Subject{Fingerprint: fingerprint("cancelled"), RequestID: "cancelled"}, after(0))
	rs.Answered(ru, after(200))
	ru.Finish(true, after(300))
	require.Empty(t, pruned(&rs, after(3000)))
	require.Equal(t, []string{"cancelled"}, crashSuspects(&rs, "s", after(3100)))
}

func TestFinishedRunsArePruned(t *testing.T) {
	var rs Runs
	rs.Sent("s", Subject{Fingerprint: fingerprint("complete"), RequestID: "complete"}, after(0)).Finish(true, after(100))
	rs.Sent("s", Subject{Fingerprint: fingerprint("runs"), RequestID: "runs"}, after(0))
	require.Empty(t, pruned(&rs, after(100+int(runRetention.Milliseconds())-1)))
	require.Empty(t, pruned(&rs, after(100+int(runRetention.Milliseconds()))), "its server has answered nothing since")
	require.Equal(t, []string{"runs"}, crashSuspects(&rs, "s", after(9000)))
}

func TestServerThatAnswersLaterHasSurvived(t *testing.T) {
	var rs Runs
	rs.Sent("s", Subject{Fingerprint: fingerprint("complete"), RequestID: "complete"}, after(0)).Finish(true, after(100))
	rs.Sent("s", Subject{Fingerprint: fingerprint("cancelled"), RequestID: "cancelled"}, after(0)).Finish(false, after(100))
	later := rs.Sent("s", Subject{Fingerprint: fingerprint("later"), RequestID: "later"}, after(400))
	rs.Answered(later, after(590))
	require.Empty(t, pruned(&rs, after(595)))
	rs.Answered(rs.Sent("s", Subject{Fingerprint: fingerprint("last"), RequestID: "last"}, after(500)), after(600))
	require.Equal(t, []string{"complete"}, pruned(&rs, after(600)))
	require.Equal(t, []string{"later", "last"}, crashSuspects(&rs, "s", after(610)))
}

func TestServerAliveAfterADisconnectHasNotCrashed(t *testing.T) {
	var rs Runs
	require.False(t, rs.IsDisconnected("s", after(0)))
	rs.Disconnected("s", after(0))
	require.True(t, rs.IsDisconnected("s", after(0)))
	require.False(t, rs.IsDisconnected("s", after(0).Add(runRetention)), "expired")
	rs.Alive("s", t0)
	require.False(t, rs.IsDisconnected("s", after(0)))
	ru := rs.Sent("s", Subject{Fingerprint: fingerprint("a"), RequestID: "a"}, after(3000))
	rs.Answered(ru, after(3100))
	require.Equal(t, []string{"a"}, crashSuspects(&rs, "s", after(3200)), "the earlier disconnect is not the crash")
	rs.Alive("unknown", t0)
}
