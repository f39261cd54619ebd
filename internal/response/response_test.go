package response

import (
	"flag"
	"fmt"
	"net/http"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

var update = flag.Bool("update", false, "write the table of responses")

// tablePath is the page with the table, between the two markers.
const (
	tablePath   = "../../docs/design/responses.md"
	tableBegins = "<!-- table of internal/response, written by its tests -->\n"
	tableEnds   = "<!-- end of the table -->\n"
)

var (
	signed    = Protocol{RequestID: "X-Request-Id", NotExecuted: "X-Not-Executed", Signature: "X-Signature", Refusals: []int{503, 429, 408}}
	anonymous = Protocol{RequestID: "X-Request-Id", Anonymous: true, Rejections: []int{429}}
)

// cases are the kinds of response, with the request "own".
var cases = []struct {
	name     string
	protocol Protocol
	status   int
	header   string
	reused   bool
	want     Verdict
}{
	{"own success, signed", signed, 200, "X-Request-Id: own\nX-Signature: s", true, Answer},
	{"own failure", signed, 500, "X-Request-Id: own", true, Answer},
	{"own redirect", signed, 302, "X-Request-Id: own", true, Answer},
	{"own success without a signature", signed, 200, "X-Request-Id: own", true, Unsigned},
	{"own success with an encoding", signed, 200, "X-Request-Id: own\nX-Signature: s\nContent-Encoding: gzip", true, Unsigned},
	{"own rejection", signed, 503, "X-Request-Id: own\nX-Not-Executed: 1", true, Rejection},
	{"own success that says that it has not run", signed, 200, "X-Request-Id: own\nX-Signature: s\nX-Not-Executed: 1", true, Rejection},
	{"own 421", signed, 421, "X-Request-Id: own", true, Replaced},
	{"own 503, 429 or 408 without a word", signed, 503, "X-Request-Id: own", true, Ambiguous},
	{"another request's success", signed, 200, "X-Request-Id: other\nX-Signature: s", true, Unrelated},
	{"another request's rejection", signed, 503, "X-Request-Id: other\nX-Not-Executed: 1", true, Unrelated},
	{"another request's 421", signed, 421, "X-Request-Id: other", false, Unrelated},
	{"the own id and another one", signed, 503, "X-Request-Id: own\nX-Request-Id: other\nX-Not-Executed: 1", false, Unrelated},
	{"the own id twice", signed, 200, "X-Request-Id: own\nX-Request-Id: own\nX-Signature: s", true, Answer},
	{"an empty id", signed, 503, "X-Request-Id: \nX-Not-Executed: 1", false, Unrelated},
	{"an id of another case", signed, 200, "X-Request-Id: OWN\nX-Signature: s", false, Unrelated},
	{"rejection without an id, first on its connection", signed, 400, "X-Not-Executed: 1", false, Rejection},
	{"421 without an id, first on its connection", signed, 421, "", false, Replaced},
	{"rejection without an id, connection used before", signed, 400, "X-Not-Executed: 1", true, Unrelated},
	{"success without an id", signed, 200, "X-Signature: s", false, Unrelated},
	{"server that names no request: success", anonymous, 200, "", true, Answer},
	{"server that names no request: 429", anonymous, 429, "", true, Rejection},
	{"server that names no request: 503", anonymous, 503, "", true, Answer},
	{"server that names no request: another request's 429", anonymous, 429, "X-Request-Id: other", true, Unrelated},
}

func TestVerdicts(t *testing.T) {
	for _, tc := range cases {
		resp := &http.Response{StatusCode: tc.status, Header: http.Header{}}
		for line := range strings.Lines(tc.header) {
			name, value, _ := strings.Cut(strings.TrimSuffix(line, "\n"), ": ")
			resp.Header.Add(name, value)
		}
		require.Equal(t, tc.want, tc.protocol.Judge(resp, "own", tc.reused), tc.name)
	}
}

// Guards against a verdict after which a request could run twice, or be refused though it ran.
func TestOnlyRejectionsSayThatNothingRan(t *testing.T) {
	for verdict, effect := range effects {
		require.Equal(t, verdict == Rejection || verdict == Replaced, effect.Run() == HasNotRun, verdict)
		require.Equal(t, verdict == Answer, effect.Deliverable(), verdict)
		require.Equal(t, verdict != Unrelated, effect.Reusable(), verdict)
	}
}

// The page holds the table of the cases; -update writes it.
func TestPageHoldsTheTable(t *testing.T) {
	var sb strings.Builder
	sb.WriteString("| what arrives | verdict | the attempt | connection | the caller sees |\n| --- | --- | --- | --- | --- |\n")
	for _, tc := range cases {
		ef := tc.want.Effect()
		connection, sees := "used again", "it"
		if !ef.Reusable() {
			connection = "closed"
		}
		switch {
		case ef.Deliverable():
		case ef.Run() == HasNotRun:
			sees = "another server's response, or 503"
		default:
			sees = "another server's response, or 502"
		}
		fmt.Fprintf(&sb, "| %s | %s | %s | %s | %s |\n", tc.name, tc.want, ef.Run(), connection, sees)
	}
	data, err := os.ReadFile(tablePath)
	require.NoError(t, err)
	before, rest, found := strings.Cut(string(data), tableBegins)
	require.True(t, found)
	_, after, found := strings.Cut(rest, tableEnds)
	require.True(t, found)
	page := before + tableBegins + sb.String() + tableEnds + after
	if *update {
		require.NoError(t, os.WriteFile(tablePath, []byte(page), 0o600))
		return
	}
	require.Equal(t, page, string(data), "run go test ./internal/response -update")
}
