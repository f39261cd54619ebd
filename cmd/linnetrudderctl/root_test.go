package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/linnetrudder/linnetrudder/internal/boxes"
	"github.com/linnetrudder/linnetrudder/internal/command"
	"github.com/linnetrudder/linnetrudder/internal/config"
	"github.com/linnetrudder/linnetrudder/internal/event"
	"github.com/linnetrudder/linnetrudder/internal/node"
	"github.com/linnetrudder/linnetrudder/internal/result"
	"github.com/linnetrudder/linnetrudder/internal/timeline"
	"github.com/linnetrudder/linnetrudder/internal/wire"
)

// fakeAdmin is a fake admin API of an entry with fixed responses by method and path.
type fakeAdmin struct {
	address   string
	responses map[string]any
	// operations holds the operation IDs of received writes.
	operations []string
	// fail is the result code of every response if it is not zero.
	fail result.Code
}

func newFakeAdmin(t *testing.T, responses map[string]any) *fakeAdmin {
	fa := &fakeAdmin{responses: responses}
	srv := httptest.NewServer(fa)
	t.Cleanup(srv.Close)
	fa.address = srv.Listener.Addr().String()
	return fa
}

func (fa *fakeAdmin) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet {
		fa.operations = append(fa.operations, r.Header.Get("Linnetrudder-Operation"))
		_, _ = io.Copy(io.Discard, r.Body)
	}
	if fa.fail != 0 {
		node.WriteError(w, result.New(fa.fail, "detail"))
		return
	}
	response, ok := fa.responses[r.Method+" "+r.URL.Path]
	if !ok {
		node.WriteError(w, result.New(result.UnknownPath, r.URL.Path))
		return
	}
	_ = json.NewEncoder(w).Encode(response)
}

func run(admin string, args ...string) (int, string, string) {
	var out, errOut bytes.Buffer
	code := execute(append(args, "--admin", admin), &out, &errOut)
	return code, out.String(), errOut.String()
}

func TestBillSumsByTeamAndVersion(t *testing.T) {
	fa := newFakeAdmin(t, map[string]any{"GET /v1/bill": []wire.BillLine{
		{Request: "a", Team: "t", Version: "m@v1", Usage: wire.Usage{Prompt: 2, Completion: 3}, Cost: 5},
		{Request: "b", Team: "t", Version: "m@v1", Usage: wire.Usage{Prompt: 1, Completion: 1}, Cost: 2},
		{Request: "c", Team: "u", Version: "m@v1", Cost: 9},
	}})
	code, out, _ := run(fa.address, "bill", "--team", "t")
	require.Equal(t, command.OK, code)
	require.Equal(t, "t\tm@v1\t2 lines\t3+4 tokens\tcost 7\n", out)
	_, out, _ = run(fa.address, "bill", "--json")
	var sums []billSum
	require.NoError(t, json.Unmarshal([]byte(out), &sums))
	require.Len(t, sums, 2)
}

func TestTimelineMergesAllBoxes(t *testing.T) {
	entry := func(ms int64, box string) timeline.Entry {
		return timeline.Entry{Stamp: timeline.Stamp{Wall: ms}, Box: box, Event: event.RequestRouted, Name: "request_routed", Request: "r"}
	}
	other := newFakeAdmin(t, map[string]any{"GET /v1/timeline": []timeline.Entry{entry(2, "agent")}})
	fa := newFakeAdmin(t, nil)
	fa.responses = map[string]any{
		"GET /v1/timeline": []timeline.Entry{entry(1, "entry"), entry(3, "entry")},
		"GET /v1/boxes":    []boxes.Box{{Name: "e", Admin: fa.address}, {Name: "a", Admin: other.address}, {Name: "unreachable", Admin: "127.0.0.1:1"}},
	}
	code, out, _ := run(fa.address, "timeline", "--request", "r")
	require.Equal(t, command.OK, code)
	first, second := strings.Index(out, "entry"), strings.Index(out, "agent")
	require.Less(t, first, second)
	require.Equal(t, 3, strings.Count(out, "request_routed"))
	require.Contains(t, out, "no answer from unreachable")
	path := filepath.Join(t.TempDir(), "timeline.svg")
	code, _, _ = run(fa.address, "timeline", "--picture", path)
	require.Equal(t, command.OK, code)
	image, err := os.ReadFile(path)
	require.NoError(t, err)
	require.Equal(t, 3, bytes.Count(image, []byte("<circle")))
	_, out, _ = run(fa.address, "timeline", "--request", "none")
	require.NotContains(t, out, "request_routed")
}

func TestWriteIsRetriedWithSameOperationID(t *testing.T) {
	down := newFakeAdmin(t, nil)
	down.fail = result.StoreUnknown
	up := newFakeAdmin(t, map[string]any{"POST /v1/versions/m/v1": config.Change{Revision: 4}})
	code, out, _ := run(down.address+","+up.address, "withdraw", "m@v1")
	require.Equal(t, command.OK, code)
	require.Contains(t, out, "m@v1 is withdrawn as of revision 4")
	require.Len(t, down.operations, 1)
	require.Equal(t, down.operations, up.operations, "the same operation ID, so that the write is applied once")
}

func TestRejectedWriteIsNotSentToNextEntry(t *testing.T) {
	first, second := newFakeAdmin(t, nil), newFakeAdmin(t, nil)
	first.fail = result.Conflict
	code, _, errOut := run(first.address+","+second.address, "withdraw", "m@v1")
	require.Equal(t, command.Failed, code)
	require.Contains(t, errOut, "606 conflict")
	require.Contains(t, errOut, "detail")
	require.Empty(t, second.operations)
}

func TestVersionWithoutModelIsRejected(t *testing.T) {
	fa := newFakeAdmin(t, nil)
	code, _, errOut := run(fa.address, "rollout", "v1", "--share", "0.1")
	require.Equal(t, command.Failed, code)
	require.Contains(t, errOut, "want model@version")
	require.Empty(t, fa.operations)
}

func TestDiffListsChangedObjects(t *testing.T) {
	doc := &config.Document{Models: []config.Model{{Name: "notes"}, {Name: "old"}}}
	fa := newFakeAdmin(t, map[string]any{"GET /v1/config": config.Envelope{Revision: 3, Document: doc}})
	code, out, errOut := run(fa.address, "diff", "../../examples/fleet.jsonc")
	require.Equal(t, command.OK, code, errOut)
	require.Contains(t, out, "changed models/notes")
	require.Contains(t, out, "removed models/old")
	require.Contains(t, out, "added teams/kitchen-a")
}

func TestExplainFromLogs(t *testing.T) {
	dir := t.TempDir()
	log := filepath.Join(dir, "a.log")
	require.NoError(t, os.WriteFile(log, []byte(`{"box":"a","event":801,"error":"reset","time":"2026-01-01T00:00:01Z"}
{"box":"a","event":205,"request":"x","code":409,"age_ms":4000,"time":"2026-01-01T00:00:05Z"}
{"box":"a","event":20`), 0o600))
	var out, errOut bytes.Buffer
	require.Equal(t, command.OK, execute([]string{"explain", "--request", "x", "--logs", log}, &out, &errOut), errOut.String())
	require.Contains(t, out.String(), "Cause: the configuration might be 4.0 s old")
	require.Contains(t, out.String(), "Skipped 1 malformed lines")
	require.NotEqual(t, command.OK, execute([]string{"explain", "--request", "y", "--logs", log}, &out, &errOut))
	require.Contains(t, errOut.String(), "unknown_request")
	errOut.Reset()
	require.NotEqual(t, command.OK, execute([]string{"explain", "--logs", log}, &out, &errOut))
	require.Contains(t, errOut.String(), "--request")
	errOut.Reset()
	require.NotEqual(t, command.OK, execute([]string{"status"}, &out, &errOut), "the address of an entry is required")
	require.Contains(t, errOut.String(), "--admin")
}

func TestEvacuateAndEndEvacuation(t *testing.T) {
	fa := newFakeAdmin(t, map[string]any{
		"POST /v1/evacuations/north": config.Change{Revision: 4}, "DELETE /v1/evacuations/north": config.Change{Revision: 5},
	})
	code, out, _ := run(fa.address, "evacuate", "north")
	require.Equal(t, command.OK, code)
	require.Contains(t, out, "north gets no new requests as of revision 4")
	code, out, _ = run(fa.address, "evacuate", "north", "--end")
	require.Equal(t, command.OK, code)
	require.Contains(t, out, "north is used again as of revision 5")
	require.Len(t, fa.operations, 2)
	require.NotEmpty(t, fa.operations[1])
}
