package transport

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/linnetrudder/linnetrudder/internal/response"
	"github.com/linnetrudder/linnetrudder/standin/scripted"
)

// readers are all ways in which responses are read.
func readers() map[string]http.RoundTripper {
	unpooled := New(NewDialer())
	unpooled.DisableKeepAlives = true
	return map[string]http.RoundTripper{
		"pool": NewPool(New(NewDialer())), "single use": unpooled, "client": NewClient().Transport, "agent's client": NewClientWithIdle(1).Transport,
	}
}

// fetch sends a request and reads its response to the end.
func fetch(t *testing.T, rt http.RoundTripper, method, address string) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(WithPatience(t.Context(), time.Second), 10*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+"/", http.NoBody)
	require.NoError(t, err)
	resp, err := rt.RoundTrip(req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

// Guards against a reader of responses without the check, and against a connection that is used after a malformed one.
func TestMalformedResponseEndsItsConnection(t *testing.T) {
	const sound = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	for name, malformed := range map[string]string{
		"status":                 "HTTP/1.1 000 x\r\nContent-Length: 2\r\n\r\nok",
		"status without a body":  "HTTP/1.1 099 x\r\nContent-Length: 0\r\n\r\n",
		"version":                "HTTP/2.0 200 OK\r\nContent-Length: 2\r\n\r\nok",
		"name":                   "HTTP/1.1 200 OK\r\nX Bad: 1\r\nContent-Length: 2\r\n\r\nok",
		"name without a body":    "HTTP/1.1 204 x\r\nX Bad: 1\r\n\r\n",
		"length":                 "HTTP/1.1 200 OK\r\nContent-Length : 1\r\nContent-Length: 2\r\n\r\nok",
		"101 without an upgrade": "HTTP/1.1 101 x\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n",
	} {
		for reader, rt := range readers() {
			for _, method := range []string{http.MethodGet, http.MethodHead, http.MethodPost} {
				t.Run(name+", "+reader+", "+method, func(t *testing.T) {
					ended := make(chan error, 1)
					ss, err := scripted.New(func(ex *scripted.Exchange) bool {
						if ex.Request.Method == http.MethodOptions {
							_, err := io.WriteString(ex.Conn, sound)
							return err == nil
						}
						text := malformed
						if head, _, _ := strings.Cut(malformed, "\r\n\r\n"); method == http.MethodHead {
							text = head + "\r\n\r\n"
						}
						_, _ = io.WriteString(ex.Conn, text)
						_ = ex.Conn.SetReadDeadline(time.Now().Add(5 * time.Second))
						_, err := ex.Reader.ReadByte()
						ended <- err
						return false
					})
					require.NoError(t, err)
					defer ss.Close()
					_, err = fetch(t, rt, http.MethodOptions, ss.Address())
					require.NoError(t, err)
					_, err = fetch(t, rt, method, ss.Address())
					var me *response.MalformedError
					require.True(t, errors.As(err, &me), "%v", err)
					require.ErrorIs(t, <-ended, io.EOF, "the connection must be closed")
					body, err := fetch(t, rt, http.MethodOptions, ss.Address())
					require.NoError(t, err)
					require.Equal(t, "ok", body)
				})
			}
		}
	}
}

// Guards against a body whose trailer is malformed being taken for complete.
func TestBodyWithMalformedTrailerIsIncomplete(t *testing.T) {
	for reader, rt := range readers() {
		t.Run(reader, func(t *testing.T) {
			ss, err := scripted.New(func(ex *scripted.Exchange) bool {
				_, _ = io.WriteString(ex.Conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX Bad: 1\r\n\r\n")
				_, err := ex.Reader.ReadByte()
				return err == nil
			})
			require.NoError(t, err)
			defer ss.Close()
			body, err := fetch(t, rt, http.MethodGet, ss.Address())
			var me *response.MalformedError
			require.True(t, errors.As(err, &me), "%v", err)
			require.Equal(t, response.DefectTrailer, me.Defect())
			require.Equal(t, "ok", body)
		})
	}
}
