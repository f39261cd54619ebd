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

// logLines returns the lines of recorded logs of several gateways, with requests that were escalated,
// resumed, failed or rejected because of a stale configuration.
func logLines(t *testing.T) []string {
	t.Helper()
	data, err := os.ReadFile("testdata/day.log")
	require.NoError(t, err)
	return strings.Split(strings.TrimSpace(string(data)), "\n")
}

func explanation(t *testing.T, request string, lines []string) string {
	t.Helper()
	ex := Explainer{Request: request}
	require.NoError(t, ex.Read(strings.NewReader(strings.Join(lines, "\n"))))
	sentences, err := ex.Explain()
	require.NoError(t, err)
	return strings.Join(sentences, "\n")
}

func TestCauseIsDescribed(t *testing.T) {
	for _, tc := range []struct{ request, code, cause string }{
		{"687e5a143067f135", "stale_configuration (409)", "might be 2.5 s old"},
		{"934b540c1d7ee46b", "link_lost (500)", "the time was over; the last attempt was at i-1cb7e03aec"},
		{"94b7ae6032c8591a", "ok (100)", "none, the request was answered"},
	} {
		text := explanation(t, tc.request, logLines(t))
		require.Contains(t, text, tc.code)
		require.Contains(t, text, "Cause: ")
		require.Contains(t, text, tc.cause)
	}
	text := explanation(t, "94b7ae6032c8591a", logLines(t))
	require.Contains(t, text, "with a confidence of 30; escalated to the larger model davo51b035")
	require.Contains(t, text, `resumed at i-86a578930e after event "4"`)
}

func TestStaleConfigurationIsAttributedToStore(t *testing.T) {
	lines := []string{
		`{"box":"a","event":801,"error":"reset by peer","time":"2026-01-01T00:00:01Z"}`,
		`{"box":"b","event":802,"time":"2026-01-01T00:00:04Z"}`,
		`{"box":"a","event":205,"request":"x","code":409,"age_ms":4000,"time":"2026-01-01T00:00:05Z"}`,
	}
	require.Contains(t, explanation(t, "x", lines), "had not answered a for 4s: reset by peer")
}

func TestConfigurationOfRequestIsNamed(t *testing.T) {
	for source, name := range map[string]string{"service": "the key-value service", "b": "gateway b"} {
		lines := []string{`{"box":"a","event":204,"request":"x","code":100,"version":1200345,"age_ms":640,"source":"` + source + `","time":"2026-01-01T00:00:05Z"}`}
		require.Contains(t, explanation(t, "x", lines), "Decided by configuration version 1200345, at most 0.6 s old, last confirmed by "+name+".")
	}
}

func TestLogsMayBeReadInAnyOrder(t *testing.T) {
	lines := logLines(t)
	want := explanation(t, "94b7ae6032c8591a", lines)
	slices.Reverse(lines)
	require.Equal(t, want, explanation(t, "94b7ae6032c8591a", lines))
}

func TestUnloggedRequestIsReported(t *testing.T) {
	ex := Explainer{Request: "unlogged"}
	lines := append(logLines(t), `{"box":"a","event":205,"request":"unl`, "not a log record")
	require.NoError(t, ex.Read(strings.NewReader(strings.Join(lines, "\n"))))
	require.Equal(t, 1, ex.MalformedLines())
	_, err := ex.Explain()
	var er *result.Error
	require.ErrorAs(t, err, &er)
	require.Equal(t, result.UnknownRequest, er.Code())
	require.Contains(t, er.Detail(), "1 malformed")
}

func TestRequestWithoutEndIsReportedAsTruncated(t *testing.T) {
	lines := logLines(t)
	require.Contains(t, explanation(t, "94b7ae6032c8591a", lines[:len(lines)-1]), "the end of the request is not logged")
}

func FuzzRead(f *testing.F) {
	f.Add([]byte(`{"event":205,"request":"x","code":409,"time":"2026-01-01T00:00:05Z"}`))
	f.Add([]byte("  1.5 box {\"event\":"))
	f.Fuzz(func(_ *testing.T, data []byte) {
		ex := Explainer{Request: "x"}
		if ex.Read(bytes.NewReader(data)) == nil {
			_, _ = ex.Explain()
		}
	})
}

func TestUnusedDataCentresAndServersAreReported(t *testing.T) {
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
	text := explanation(t, "r", lines)
	require.Contains(t, text, "evacuated data centres (dc1)")
	require.Contains(t, text, "1 servers were warming up")
	require.Contains(t, text, "1 servers announced a rate limit")
	require.Contains(t, text, "no backend server with an allowed version is reachable")
	require.NotContains(t, explanation(t, "r", lines[12:13]), "evacuated")
}

func TestPausedAndLeavingServersAreReported(t *testing.T) {
	text := explanation(t, "r", []string{
		`{"box":"a","event":529,"server":"x@1","time":"2026-01-01T00:00:01Z"}`,
		`{"box":"a","event":529,"server":"y@1","time":"2026-01-01T00:00:01Z"}`,
		`{"box":"a","event":530,"server":"y@1","time":"2026-01-01T00:00:04Z"}`,
		`{"box":"a","event":531,"server":"z@1","time":"2026-01-01T00:00:02Z"}`,
		`{"box":"a","event":531,"server":"w@1","time":"2026-01-01T00:00:02Z"}`,
		`{"box":"a","event":512,"server":"w","time":"2026-01-01T00:00:03Z"}`,
		`{"box":"a","event":212,"request":"r","server":"s1","before":"s2","error":"refused: shed","time":"2026-01-01T00:00:05Z"}`,
		`{"box":"a","event":204,"request":"r","code":100,"time":"2026-01-01T00:00:06Z"}`,
	})
	require.Contains(t, text, "1 servers had requested a pause")
	require.Contains(t, text, "1 servers had announced their shutdown")
	require.Contains(t, text, "s2 did not answer (refused: shed); the earlier answer from s1 is delivered")
}

func TestServersThatCrashedDuringIdenticalRequestsAreReported(t *testing.T) {
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
	text := explanation(t, "x3", lines)
	require.Contains(t, text, "just after they started an identical request: s1, s2 (requests x1, x2)")
	require.Contains(t, text, "blocked at b for 1s")
	require.Contains(t, text, "Cause: backend servers ended under copies of the request")
}

func TestBlockedPartOfThePromptIsReported(t *testing.T) {
	lines := []string{
		`{"box":"a","event":525,"server":"s1","prints":["x1 aa"],"parts":["deadly t 2"],"time":"2026-01-01T00:00:01Z"}`,
		`{"box":"a","event":208,"print":"ff","by":"b","part":"deadly","team":"t","all_teams":false,"requests":3,"servers":4,"until":"2026-01-01T00:05:02Z","time":"2026-01-01T00:00:02Z"}`,
		`{"box":"a","event":208,"print":"fe","by":"b","part":"deadly","team":"other","requests":9,"servers":9,"until":"2026-01-01T00:05:02Z","time":"2026-01-01T00:00:02Z"}`,
		`{"box":"a","event":205,"request":"x9","team":"t","code":410,"print":"cc","parts":["common","deadly"],"time":"2026-01-01T00:00:04Z"}`,
	}
	text := explanation(t, "x9", lines)
	require.Contains(t, text, "Part deadly of its prompt, in requests of team t, had been blocked at a for 2s: "+
		"4 servers had crashed under 3 different requests with it; blocked by b until 2026-01-01T00:05:02Z.")
	require.NotContains(t, text, "9 servers")
}

func TestRestoredStoreIsReported(t *testing.T) {
	lines := []string{
		`{"box":"a","event":805,"revision":"2/75","before":"1/77","time":"2026-01-01T00:00:01Z"}`,
		`{"box":"a","event":205,"request":"x","code":401,"time":"2026-01-01T00:00:02.5Z"}`,
		`{"box":"a","event":205,"request":"y","code":401,"time":"2026-01-01T00:00:40Z"}`,
	}
	require.Contains(t, explanation(t, "x", lines), "At a the key-value service had been restored from an older copy 1.5s before (revision 2/75 after 1/77).")
	require.NotContains(t, explanation(t, "y", lines), "older copy")
}
