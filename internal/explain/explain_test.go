package explain

import (
	"bytes"
	"os"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/linnetrudder/linnetrudder/internal/result"
)

// played returns lines of gateways' logs of a day of trouble.
func played(t *testing.T) []string {
	t.Helper()
	data, err := os.ReadFile("testdata/day.log")
	require.NoError(t, err)
	return strings.Split(strings.TrimSpace(string(data)), "\n")
}

func tell(t *testing.T, request string, lines []string) string {
	t.Helper()
	st := Explainer{Request: request}
	require.NoError(t, st.Read(strings.NewReader(strings.Join(lines, "\n"))))
	told, err := st.Explain()
	require.NoError(t, err)
	return strings.Join(told, "\n")
}

func TestTheCauseIsToldInWords(t *testing.T) {
	for _, tc := range []struct{ request, code, cause string }{
		{"687e5a143067f135", "stale_configuration (409)", "might be 2.5 s old"},
		{"934b540c1d7ee46b", "link_lost (500)", "the time was over; the last attempt was at i-1cb7e03aec"},
		{"94b7ae6032c8591a", "ok (100)", "none, it was answered"},
	} {
		told := tell(t, tc.request, played(t))
		require.Contains(t, told, tc.code)
		require.Contains(t, told, "Cause: ")
		require.Contains(t, told, tc.cause)
	}
	told := tell(t, "94b7ae6032c8591a", played(t))
	require.Contains(t, told, "with a confidence of 30; the larger model davo51b035 is asked")
	require.Contains(t, told, `it goes on at i-86a578930e after event "4"`)
}

func TestAStaleConfigurationIsTracedToTheService(t *testing.T) {
	lines := []string{
		`{"box":"a","event":801,"error":"reset by peer","time":"2026-01-01T00:00:01Z"}`,
		`{"box":"b","event":802,"time":"2026-01-01T00:00:04Z"}`,
		`{"box":"a","event":205,"request":"x","code":409,"age_ms":4000,"time":"2026-01-01T00:00:05Z"}`,
	}
	require.Contains(t, tell(t, "x", lines), "silent at a for 4s: reset by peer")
}

func TestLinesOfSeveralBoxesMayComeInAnyOrder(t *testing.T) {
	lines := played(t)
	want := tell(t, "94b7ae6032c8591a", lines)
	slices.Reverse(lines)
	require.Equal(t, want, tell(t, "94b7ae6032c8591a", lines))
}

func TestWhatTheLogsDoNotKnowIsSaid(t *testing.T) {
	st := Explainer{Request: "nobody"}
	lines := append(played(t), `{"box":"a","event":205,"request":"nob`, "no log at all")
	require.NoError(t, st.Read(strings.NewReader(strings.Join(lines, "\n"))))
	require.Equal(t, 1, st.MalformedLines())
	_, err := st.Explain()
	var er *result.Error
	require.ErrorAs(t, err, &er)
	require.Equal(t, result.UnknownRequest, er.Code())
	require.Contains(t, er.Detail(), "1 torn")
}

func TestARequestWithoutItsEndIsSaidToBeCut(t *testing.T) {
	lines := played(t)
	require.Contains(t, tell(t, "94b7ae6032c8591a", lines[:len(lines)-1]), "no line on its end")
}

func FuzzAnyLogIsRead(f *testing.F) {
	f.Add([]byte(`{"event":205,"request":"x","code":409,"time":"2026-01-01T00:00:05Z"}`))
	f.Add([]byte("  1.5 box {\"event\":"))
	f.Fuzz(func(_ *testing.T, data []byte) {
		st := Explainer{Request: "x"}
		if st.Read(bytes.NewReader(data)) == nil {
			_, _ = st.Explain()
		}
	})
}

func TestWhatABoxDidNotUseIsTold(t *testing.T) {
	lines := []string{
		`{"box":"a","event":523,"of":"dc9","time":"2026-01-01T00:00:00Z"}`,
		`{"box":"a","event":100,"time":"2026-01-01T00:00:01Z"}`,
		`{"box":"a","event":523,"of":"dc1","time":"2026-01-01T00:00:02Z"}`,
		`{"box":"b","event":523,"of":"dc2","time":"2026-01-01T00:00:02Z"}`,
		`{"box":"a","event":523,"of":"dc3","time":"2026-01-01T00:00:02Z"}`,
		`{"box":"a","event":524,"of":"dc3","time":"2026-01-01T00:00:03Z"}`,
		`{"box":"a","event":521,"server":"x@1","time":"2026-01-01T00:00:03Z"}`,
		`{"box":"a","event":521,"server":"y@1","time":"2026-01-01T00:00:03Z"}`,
		`{"box":"a","event":522,"server":"y@1","time":"2026-01-01T00:00:04Z"}`,
		`{"box":"a","event":527,"server":"x@1","time":"2026-01-01T00:00:03Z"}`,
		`{"box":"a","event":527,"server":"z@1","time":"2026-01-01T00:00:03Z"}`,
		`{"box":"a","event":528,"server":"z@1","time":"2026-01-01T00:00:04Z"}`,
		`{"box":"a","event":205,"request":"r","code":401,"time":"2026-01-01T00:00:05Z"}`,
		`{"box":"a","event":523,"of":"dc4","time":"2026-01-01T00:00:06Z"}`,
	}
	told := tell(t, "r", lines)
	require.Contains(t, told, "evacuated data centres (dc1)")
	require.Contains(t, told, "1 servers were cold")
	require.Contains(t, told, "1 servers named a limit")
	require.Contains(t, told, "no backend server with an allowed version is reachable")
	require.NotContains(t, tell(t, "r", lines[12:13]), "evacuated")
}

func TestPausedAndLeavingServersAreTold(t *testing.T) {
	told := tell(t, "r", []string{
		`{"box":"a","event":529,"server":"x@1","time":"2026-01-01T00:00:01Z"}`,
		`{"box":"a","event":529,"server":"y@1","time":"2026-01-01T00:00:01Z"}`,
		`{"box":"a","event":530,"server":"y@1","time":"2026-01-01T00:00:04Z"}`,
		`{"box":"a","event":531,"server":"z@1","time":"2026-01-01T00:00:02Z"}`,
		`{"box":"a","event":531,"server":"w@1","time":"2026-01-01T00:00:02Z"}`,
		`{"box":"a","event":512,"server":"w","time":"2026-01-01T00:00:03Z"}`,
		`{"box":"a","event":212,"request":"r","server":"s1","before":"s2","error":"refused: shed","time":"2026-01-01T00:00:05Z"}`,
		`{"box":"a","event":204,"request":"r","code":100,"time":"2026-01-01T00:00:06Z"}`,
	})
	require.Contains(t, told, "1 servers had asked for a pause")
	require.Contains(t, told, "1 servers had announced their shutdown")
	require.Contains(t, told, "s2 gave no answer (refused: shed); the one that s1 had given before is delivered")
}

func TestARequestUnderWhichServersEndedIsToldWithThem(t *testing.T) {
	lines := []string{
		`{"box":"a","event":525,"server":"s1","prints":["x1 aa","y1 bb"],"time":"2026-01-01T00:00:01Z"}`,
		`{"box":"b","event":525,"server":"s2","prints":["x2 aa"],"time":"2026-01-01T00:00:02Z"}`,
		`{"box":"a","event":525,"server":"s2","prints":["x1 aa"],"time":"2026-01-01T00:00:02Z"}`,
		`{"box":"b","event":525,"server":"s9","prints":["y2 bb"],"time":"2026-01-01T00:00:02Z"}`,
		`{"box":"a","event":208,"print":"aa","time":"2026-01-01T00:00:03Z"}`,
		`{"box":"b","event":208,"print":"aa","time":"2026-01-01T00:00:04Z"}`,
		`{"box":"b","event":205,"request":"x3","print":"aa","code":410,"time":"2026-01-01T00:00:05Z"}`,
		`{"box":"a","event":525,"server":"s7","prints":["x1 aa"],"time":"2026-01-01T00:00:06Z"}`,
	}
	told := tell(t, "x3", lines)
	require.Contains(t, told, "just after they began a copy of it: s1, s2 (requests x1, x2)")
	require.Contains(t, told, "blocked at b for 1s")
	require.Contains(t, told, "Cause: backend servers ended under copies of the request")
}

func TestRestoredServiceIsNamed(t *testing.T) {
	lines := []string{
		`{"box":"a","event":805,"revision":"2/75","before":"1/77","time":"2026-01-01T00:00:01Z"}`,
		`{"box":"a","event":205,"request":"x","code":401,"time":"2026-01-01T00:00:02.5Z"}`,
		`{"box":"a","event":205,"request":"y","code":401,"time":"2026-01-01T00:00:40Z"}`,
	}
	require.Contains(t, tell(t, "x", lines), "At a the key-value service had come back from an older copy 1.5s before (revision 2/75 after 1/77).")
	require.NotContains(t, tell(t, "y", lines), "older copy")
}
