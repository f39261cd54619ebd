package transport

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/linnetrudder/linnetrudder/standin/scripted"
)

const (
	// uploadBytes is the size of a body that does not fit the buffers of its connection.
	uploadBytes = 12 << 20
	resetPlays  = 100
)

// earlyResponses are the heads of responses whose bodies end with the connection.
var earlyResponses = map[string]string{
	"HTTP/1.1":          "HTTP/1.1 200 OK\r\n\r\n",
	"connection: close": "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
	"HTTP/1.0":          "HTTP/1.0 200 OK\r\n\r\n",
	"event stream":      "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n",
}

// upload sends a long body and reads the response to the end.
func upload(t *testing.T, rt http.RoundTripper, address string, body []byte) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/", io.NopCloser(bytes.NewReader(body)))
	require.NoError(t, err)
	req.ContentLength = int64(len(body))
	resp, err := rt.RoundTrip(req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return string(data), err
}

// Guards against a part of a response being taken for all of it: a write that fails takes the error of a reset
// connection with it, and the read behind it looks like the end.
func TestResetDuringAnUploadDoesNotEndTheResponse(t *testing.T) {
	body := make([]byte, uploadBytes)
	for name, head := range earlyResponses {
		t.Run(name, func(t *testing.T) {
			ss, err := scripted.New(func(ex *scripted.Exchange) bool {
				_, _ = io.CopyN(io.Discard, ex.Reader, 64<<10)
				_, _ = io.WriteString(ex.Conn, head+"id: 1\ndata: part 1\n\n")
				_, _ = io.CopyN(io.Discard, ex.Reader, 256<<10)
				ex.Reset()
				return false
			})
			require.NoError(t, err)
			defer ss.Close()
			rt := New(NewDialer())
			whole := 0
			for range resetPlays {
				if _, err := upload(t, rt, ss.Address(), body); err == nil {
					whole++
				}
			}
			require.Zero(t, whole, "of %d responses", resetPlays)
		})
	}
}

// A response that its server ends properly is complete, also if the request was not sent to its end.
func TestEndDuringAnUploadEndsTheResponse(t *testing.T) {
	body := make([]byte, uploadBytes)
	for name, head := range earlyResponses {
		t.Run(name, func(t *testing.T) {
			ss, err := scripted.New(func(ex *scripted.Exchange) bool {
				_, _ = io.CopyN(io.Discard, ex.Reader, 64<<10)
				_, _ = io.WriteString(ex.Conn, head+"whole")
				_ = ex.Conn.CloseWrite()
				_, _ = io.Copy(io.Discard, ex.Reader)
				return false
			})
			require.NoError(t, err)
			defer ss.Close()
			rt := New(NewDialer())
			for range 20 {
				text, err := upload(t, rt, ss.Address(), body)
				require.NoError(t, err)
				require.Equal(t, "whole", text)
			}
		})
	}
}
