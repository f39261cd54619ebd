package httpfront

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against requests that are served on connections that a shutdown has closed: their callers send them again.
func TestRequestsThatCrossAShutdownAreAnsweredOrNotServed(t *testing.T) {
	const plays, callers, spread = 40, 64, 4 * time.Millisecond
	var mu sync.Mutex
	served, answered := map[string]bool{}, map[string]bool{}
	record := func(set map[string]bool, request string) {
		mu.Lock()
		defer mu.Unlock()
		set[request] = true
	}
	for play := range plays {
		se, li := startServer(t, func() Limits { return Limits{HeaderBytes: 4096} }, func(w http.ResponseWriter, r *http.Request) {
			record(served, r.URL.Path)
			respondOK(w, r)
		})
		var wg, ready sync.WaitGroup
		ready.Add(callers)
		start := make(chan struct{})
		for i := range callers {
			co := dial(t, li)
			wg.Go(func() {
				reader := bufio.NewReader(co)
				send := func(request string) {
					_, _ = fmt.Fprintf(co, "GET %s HTTP/1.1\r\nHost: h\r\n\r\n", request)
					resp, err := http.ReadResponse(reader, nil)
					if err != nil {
						return
					}
					if _, err := io.Copy(io.Discard, resp.Body); err == nil {
						record(answered, request)
					}
				}
				send(fmt.Sprintf("/first/%d/%d", play, i))
				ready.Done()
				<-start
				time.Sleep(time.Duration(i) * spread / callers)
				send(fmt.Sprintf("/second/%d/%d", play, i))
			})
		}
		ready.Wait()
		close(start)
		time.Sleep(spread / 2)
		require.NoError(t, se.Shutdown(t.Context()))
		wg.Wait()
	}
	lost := 0
	for request := range served {
		if !answered[request] {
			lost++
		}
	}
	t.Logf("%d requests served, %d answered", len(served), len(answered))
	require.Zero(t, lost, "requests were served and not answered")
}
