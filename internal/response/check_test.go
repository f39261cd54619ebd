package response

import (
	"bufio"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// parse returns a response as net/http parses it, nil if it does not.
func parse(t *testing.T, text string, req *http.Request) *http.Response {
	t.Helper()
	resp, err := http.ReadResponse(bufio.NewReader(strings.NewReader(text)), req)
	if err != nil {
		return nil
	}
	t.Cleanup(func() { _ = resp.Body.Close() })
	return resp
}

func TestOnlyDefinedStatusesAreValid(t *testing.T) {
	for status := range 1000 {
		text := "HTTP/1.1 " + string([]byte{'0' + byte(status/100), '0' + byte(status/10%10), '0' + byte(status%10)}) + " x\r\n\r\n"
		resp := parse(t, text, nil)
		require.NotNil(t, resp)
		require.Equal(t, status >= 200 && status <= 599, Check(resp) == nil, status)
	}
	for _, text := range []string{"+20", "-20", "20O", "20", "1000", "0x2", ""} {
		resp := parse(t, "HTTP/1.1 "+text+" x\r\n\r\n", nil)
		require.True(t, resp == nil || Check(resp) != nil, text)
	}
}

func TestProtocolIsOnlyChangedOnRequest(t *testing.T) {
	const text = "HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: websocket\r\n\r\n"
	req := &http.Request{Header: http.Header{}}
	require.Error(t, Check(parse(t, text, req)))
	require.Error(t, Check(parse(t, text, nil)))
	req.Header.Set("Upgrade", "websocket")
	require.NoError(t, Check(parse(t, text, req)))
}

func TestOnlyHTTP1IsValid(t *testing.T) {
	for version, valid := range map[string]bool{
		"HTTP/1.0": true, "HTTP/1.1": true, "HTTP/1.2": true, "HTTP/0.9": false, "HTTP/2.0": false, "HTTP/9.9": false,
		"HTTP/11": false, "http/1.1": false, "ICY": false,
	} {
		resp := parse(t, version+" 200 OK\r\n\r\n", nil)
		require.Equal(t, valid, resp != nil && Check(resp) == nil, version)
	}
}

func TestMalformedErrorsAreShort(t *testing.T) {
	err := Check(&http.Response{ProtoMajor: 1, Status: "000 " + strings.Repeat("\x01", 1<<20)})
	var me *MalformedError
	require.ErrorAs(t, err, &me)
	require.Equal(t, DefectStatus, me.Defect())
	require.Less(t, len(err.Error()), 1<<10)
}

func TestNamesAreTokens(t *testing.T) {
	for name, valid := range map[string]bool{
		"X-Ok": true, "x": true, "!#$%&'*+-.^_`|~09azAZ": true, "X Bad": false, "X-Bad ": false, "Content-Length ": false, " ": false,
	} {
		head := &http.Response{ProtoMajor: 1, StatusCode: http.StatusOK, Header: http.Header{name: {"v"}}}
		require.Equal(t, valid, Check(head) == nil, "%q", name)
		trailer := &http.Response{ProtoMajor: 1, StatusCode: http.StatusOK, Trailer: http.Header{name: {"v"}}}
		require.Equal(t, valid, Check(trailer) == nil, "%q", name)
	}
}
