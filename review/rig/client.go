package main

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// attempt is one client attempt with its own id.
type attempt struct {
	id, client, gateway, key string
	sent, answered           time.Time
	// status is the status of the answer, zero if there was none.
	status int
	whole  bool
	// events is the number of events in the answer.
	events int
	// signature is the X-Server-Signature of the answer, echo its X-Request-Id.
	signature, echo string
	retryAfter      time.Duration
	err             string
}

// attempts collects the attempts of all clients.
type attempts struct {
	mu   sync.Mutex
	list []*attempt
}

func (at *attempts) add(a *attempt) {
	at.mu.Lock()
	defer at.mu.Unlock()
	at.list = append(at.list, a)
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// client sends requests one after the other on a kept connection to one gateway.
type client struct {
	name     string
	gateway  *gateway
	host     string
	path     string
	deadline time.Duration
	// extra holds further header lines.
	extra string
	co    net.Conn
	re    *bufio.Reader
}

// close closes the connection.
func (cl *client) close() {
	if cl.co != nil {
		_ = cl.co.Close()
		cl.co = nil
	}
}

var errNoAnswer = errors.New("no answer")

// send makes one attempt.
func (cl *client) send(ctx context.Context, key string) *attempt {
	a := &attempt{id: newID(), client: cl.name, gateway: cl.gateway.name, key: key}
	if cl.co == nil {
		co, err := net.DialTimeout("tcp", cl.gateway.frontend, time.Second)
		if err != nil {
			a.sent, a.err = time.Now(), err.Error()
			return a
		}
		cl.co, cl.re = co, bufio.NewReader(co)
	}
	body := bytes.Repeat([]byte("p"), 600)
	var out bytes.Buffer
	fmt.Fprintf(&out, "POST %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\n%sContent-Length: %d\r\n\r\n",
		cl.path, cl.host, a.id, cl.deadline.Milliseconds(), key, cl.extra, len(body))
	out.Write(body)
	a.sent = time.Now()
	_ = cl.co.SetDeadline(a.sent.Add(cl.deadline + time.Second))
	stop := context.AfterFunc(ctx, func() { _ = cl.co.SetDeadline(time.Now()) })
	defer stop()
	if _, err := cl.co.Write(out.Bytes()); err != nil {
		a.err = err.Error()
		cl.close()
		return a
	}
	resp, err := http.ReadResponse(cl.re, &http.Request{Method: http.MethodPost})
	if err != nil {
		a.answered, a.err = time.Now(), errNoAnswer.Error()+": "+err.Error()
		cl.close()
		return a
	}
	answer, err := io.ReadAll(resp.Body)
	a.answered = time.Now()
	a.events = bytes.Count(answer, []byte("\ndata: "))
	a.status, a.whole = resp.StatusCode, err == nil
	a.signature, a.echo = resp.Header.Get("X-Server-Signature"), resp.Header.Get("X-Request-Id")
	if text := resp.Header.Get("Retry-After"); text != "" {
		s, _ := strconv.ParseFloat(text, 64)
		a.retryAfter = time.Duration(s * float64(time.Second))
	}
	if err != nil || resp.Close {
		cl.close()
	}
	return a
}

// promise reports whether a status says that the request has not run and never will.
func promise(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}
