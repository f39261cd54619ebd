package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// playHalfClose: for 5 s, a quarter of the clients leave within half of the objective of 100 ms. They end their side of
// the connection and read what is still on its way.
func playHalfClose(wo *world) int {
	const requests, every = 100, 4
	wo.st.set("op/config", serviceConfig(3, map[string][]string{"t1": {"key-one"}}, 0))
	for i := range 3 {
		wo.addWorker(&worker{id: fmt.Sprintf("i-app%d", i), service: "app", version: "v1", zone: zones[i], slots: 20, workTime: 200 * time.Millisecond})
	}
	for range 4 {
		wo.addGateway(nil).start()
	}
	wo.awaitReady()
	time.Sleep(time.Second)
	var mu sync.Mutex
	var wg sync.WaitGroup
	broken := 0
	for n := range requests {
		wg.Add(1)
		go func() {
			defer wg.Done()
			if wo.leaveOnce(n, wo.trouble && n%every == 0) {
				mu.Lock()
				broken++
				mu.Unlock()
			}
		}()
		time.Sleep(50 * time.Millisecond)
	}
	wg.Wait()
	if broken > 0 {
		wo.rec.say("MIXED is broken: %d clients received a success without X-Server-Signature", broken)
		return exitBroken
	}
	wo.rec.say("MIXED held")
	return exitHeld
}

// leaveOnce sends a request and reads its answer. If leave is set, the client gives up after 50 ms and ends its side
// of the connection. It reports whether it received a success that no worker signed.
func (wo *world) leaveOnce(n int, leave bool) bool {
	ga := wo.gateways[n%len(wo.gateways)]
	id, kind := fmt.Sprintf("h%d", n), "safe"
	if n%2 == 0 {
		kind = "unsafe"
	}
	conn, err := net.Dial("tcp", ga.frontend)
	must(err)
	defer conn.Close()
	body := "body of " + id
	_, err = fmt.Fprintf(conn, "POST /%s/do HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 1000\r\nAuthorization: Bearer key-one\r\nContent-Length: %d\r\n\r\n%s", kind, host, id, len(body), body)
	must(err)
	wo.rec.line(time.Now(), "sent request=%s kind=%s to=%s", id, kind, ga.name)
	if leave {
		time.Sleep(50 * time.Millisecond)
		_ = conn.(*net.TCPConn).CloseWrite()
		wo.rec.line(time.Now(), "the client of request=%s leaves: it ends its side of the connection", id)
	}
	_ = conn.SetReadDeadline(time.Now().Add(3 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		wo.rec.line(time.Now(), "answer request=%s none: %v", id, err)
		return false
	}
	data, err := io.ReadAll(resp.Body)
	signature := resp.Header.Get("X-Server-Signature")
	wo.rec.line(time.Now(), "answer request=%s status=%d id=%q signature=%q body=%q error=%v", id, resp.StatusCode, resp.Header.Get("X-Request-Id"), signature, data, err)
	return resp.StatusCode/100 == 2 && signature == ""
}
