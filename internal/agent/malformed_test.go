package agent

import (
	"io"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/linnetrudder/linnetrudder/internal/clock"
	"github.com/linnetrudder/linnetrudder/internal/node"
	"github.com/linnetrudder/linnetrudder/internal/result"
	"github.com/linnetrudder/linnetrudder/internal/settings"
	"github.com/linnetrudder/linnetrudder/internal/timeline"
	"github.com/linnetrudder/linnetrudder/internal/transport"
	"github.com/linnetrudder/linnetrudder/internal/wire"
	"github.com/linnetrudder/linnetrudder/standin/scripted"
)

// newAgentOf returns an agent whose backend server answers with a text.
func newAgentOf(t *testing.T, text string) *Agent {
	t.Helper()
	ss, err := scripted.New(func(ex *scripted.Exchange) bool {
		_, _ = io.Copy(io.Discard, ex.Request.Body)
		_, _ = io.WriteString(ex.Conn, text)
		return false
	})
	require.NoError(t, err)
	t.Cleanup(ss.Close)
	return &Agent{
		HTTP: transport.NewClient(),
		Node: &node.Node{Ring: &timeline.Ring{}, Settings: settings.Settings{Server: settings.Server{Address: ss.Address()}}},
	}
}

// Guards against a malformed response reaching an entry, or counting as a rejection.
func TestMalformedResponseIsAFailure(t *testing.T) {
	for name, text := range map[string]string{
		"status 000":     "HTTP/1.1 000 x\r\nContent-Length: 2\r\n\r\nok",
		"101":            "HTTP/1.1 101 x\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n",
		"name":           "HTTP/1.1 200 OK\r\nX Bad: 1\r\nContent-Length: 2\r\n\r\nok",
		"rejection":      "HTTP/1.1 429 x\r\nX Bad: 1\r\nContent-Length: 0\r\n\r\n",
		"rejection, 2.0": "HTTP/2.0 429 x\r\nContent-Length: 0\r\n\r\n",
	} {
		for _, version := range []string{"", "v"} {
			t.Run(name+version, func(t *testing.T) {
				ag := newAgentOf(t, text)
				ru := &run{ag: ag, at: &wire.Attempt{Request: "call", Method: http.MethodPost, Path: "/", Version: version}, decided: clock.Now()}
				co, us := ru.call(t.Context())
				require.Equal(t, result.ServerFailed, co)
				require.Nil(t, us)
			})
		}
	}
}

// Guards against a malformed response to a probe counting as that of a restarted server.
func TestMalformedResponseToAProbeIsNotConclusive(t *testing.T) {
	resp, err := newAgentOf(t, "HTTP/1.1 000 x\r\nContent-Length: 0\r\n\r\n").head(t.Context())
	if err == nil {
		_ = resp.Body.Close()
	}
	require.Error(t, err)
}
