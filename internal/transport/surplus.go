package transport

import (
	"bytes"
	"net/http"
	"slices"
	"strconv"
	"sync"

	"github.com/VictoriaMetrics/metrics"
)

const (
	// maxEarlierRequests is the number of earlier requests of a connection that are remembered.
	maxEarlierRequests = 8
	// maxSurplusBody is the size in bytes up to which the body of a surplus response is dropped.
	maxSurplusBody = 64 << 10
	// unframed is the length of a response whose end the filter does not know.
	unframed = -1
)

var (
	surplusResponses = metrics.NewCounter(`linnetrudder_surplus_responses_total`)
	headEnd          = []byte("\r\n\r\n")
	lineEnd          = []byte("\r\n")
)

// surplusFilter drops the further responses to earlier requests of a connection, so that a request gets its own
// response behind them. Responses name the request in a header. What is neither an earlier request's response nor
// well-formed passes unchanged. The zero value passes everything.
type surplusFilter struct {
	mu sync.Mutex
	// header names the request in requests and responses, empty before the first request.
	header string
	// requests holds the ids of the last requests, that of the present one last.
	requests []string
	// bodiless is set if the responses to the present request have no body.
	bodiless bool
	// answered is set once the response to the present request has begun.
	answered bool

	// The fields below belong to the reader of the connection.

	// left is the number of bytes of the present response that pass, unframed if all do until the next request begins.
	left int64
	// dropping is the number of bytes of a surplus response that are still to be dropped.
	dropping int64
	// pending holds bytes that were read from the connection, borrowed is set if they are in a reader's buffer. err is
	// the error behind them.
	pending  []byte
	borrowed bool
	err      error
}

// begin records that a request is about to be written. No response to it can arrive before. It returns false if one of
// the earlier requests has the same id, so that their responses could not be told apart.
func (sf *surplusFilter) begin(header, id, method string) bool {
	sf.mu.Lock()
	defer sf.mu.Unlock()
	if slices.Contains(sf.requests, id) {
		return false
	}
	if len(sf.requests) > maxEarlierRequests {
		sf.requests = slices.Delete(sf.requests, 0, 1)
	}
	sf.header, sf.requests = header, append(sf.requests, id)
	sf.bodiless, sf.answered = method == http.MethodHead, false
	return true
}

// active reports whether the filter has a request to look for.
func (sf *surplusFilter) active() bool {
	sf.mu.Lock()
	defer sf.mu.Unlock()
	return sf.header != ""
}

// awaitsResponse reports whether no response to the present request has begun.
func (sf *surplusFilter) awaitsResponse() bool {
	sf.mu.Lock()
	defer sf.mu.Unlock()
	return !sf.answered
}

// read reads from a connection into buf, without surplus responses.
func (sf *surplusFilter) read(buf []byte, from func([]byte) (int, error)) (int, error) {
	if len(buf) == 0 {
		return from(buf)
	}
	if !sf.active() {
		n, err := from(buf)
		if !sf.active() {
			return n, err
		}
		// The first request has begun meanwhile.
		sf.pending, sf.borrowed, sf.err = buf[:n], true, err
	}
	for sf.err == nil || len(sf.pending) > 0 {
		if n := sf.pass(buf); n > 0 {
			return n, nil
		}
		if sf.err == nil {
			sf.fill(buf, from)
		}
	}
	return 0, sf.err
}

// fill reads the next bytes from a connection. buf is used as a buffer.
func (sf *surplusFilter) fill(buf []byte, from func([]byte) (int, error)) {
	// Nothing beyond the present response is read, so that a surplus one behind it stays in the connection.
	if sf.left > 0 && int64(len(buf)) > sf.left {
		buf = buf[:sf.left]
	}
	n, err := from(buf)
	sf.err = err
	if len(sf.pending) == 0 {
		sf.pending, sf.borrowed = buf[:n], true
	} else {
		sf.pending = append(sf.pending, buf[:n]...)
	}
	if sf.left == unframed && sf.awaitsResponse() {
		sf.left = 0
	}
}

// pass moves what may be returned now to buf, and returns how many bytes these are.
func (sf *surplusFilter) pass(buf []byte) int {
	defer sf.keepPending()
	for sf.left == 0 && len(sf.pending) > 0 {
		if n := min(int64(len(sf.pending)), sf.dropping); n > 0 {
			sf.pending, sf.dropping = sf.pending[n:], sf.dropping-n
			continue
		}
		if !sf.startResponse() {
			return 0
		}
	}
	allowed := sf.pending
	if sf.left != unframed && int64(len(allowed)) > sf.left {
		allowed = allowed[:sf.left]
	}
	n := copy(buf, allowed)
	sf.pending = sf.pending[n:]
	if sf.left != unframed {
		sf.left -= int64(n)
	}
	return n
}

// keepPending copies the pending bytes if they are in a reader's buffer.
func (sf *surplusFilter) keepPending() {
	switch {
	case len(sf.pending) == 0:
		sf.pending = nil
	case sf.borrowed:
		sf.pending = bytes.Clone(sf.pending)
	}
	sf.borrowed = false
}

// startResponse decides what happens with the response that begins with the pending bytes. It reports whether enough
// of them are there.
func (sf *surplusFilter) startResponse() bool {
	sf.mu.Lock()
	defer sf.mu.Unlock()
	end := bytes.Index(sf.pending, headEnd)
	if end < 0 {
		// Bytes behind a response that may be anything are net/http's, which closes the connection.
		if sf.answered || sf.err != nil || len(sf.pending) > maxResponseHeaderBytes {
			sf.left, sf.answered = unframed, true
			return true
		}
		return false
	}
	size := int64(end + len(headEnd))
	he := parseHead(sf.pending[:end], sf.header)
	surplus := sf.isSurplus(he.id)
	length := he.bodyLength(sf.bodiless)
	switch {
	case he.interim():
		sf.left = size
		return true
	case surplus && length >= 0 && length <= maxSurplusBody:
		surplusResponses.Inc()
		sf.dropping = size + length
		return true
	case length == unframed:
		sf.left = unframed
	default:
		sf.left = size + length
	}
	sf.answered = true
	return true
}

// isSurplus reports whether a response with an id belongs to an earlier request, or to the present one although that
// has its response. The lock is held.
func (sf *surplusFilter) isSurplus(id string) bool {
	last := len(sf.requests) - 1
	if id == sf.requests[last] {
		return id != "" && sf.answered
	}
	return id != "" && slices.Contains(sf.requests[:last], id)
}

// responseHead is what the filter needs of a response head.
type responseHead struct {
	status int
	id     string
	// length is that of the body, unframed if it is chunked or ends with the connection.
	length int64
}

// parseHead reads a response head. Its status is zero if it is not well-formed.
func parseHead(text []byte, header string) responseHead {
	he := responseHead{length: unframed}
	line, rest, _ := bytes.Cut(text, lineEnd)
	_, after, _ := bytes.Cut(line, []byte(" "))
	code, _, _ := bytes.Cut(after, []byte(" "))
	status, err := strconv.Atoi(string(code))
	if err != nil || !bytes.HasPrefix(line, []byte("HTTP/1.")) {
		return he
	}
	he.status = status
	chunked, named := false, false
	for len(rest) > 0 {
		line, rest, _ = bytes.Cut(rest, lineEnd)
		key, value, _ := bytes.Cut(line, []byte(":"))
		switch value = bytes.TrimSpace(value); {
		case len(key) == len(header) && bytes.EqualFold(key, []byte(header)):
			if named && he.id != string(value) {
				value = nil // several ids belong to no request
			}
			he.id, named = string(value), true
		case bytes.EqualFold(key, []byte("Content-Length")):
			length, err := strconv.ParseInt(string(value), 10, 64)
			if err != nil || length < 0 || he.length >= 0 && he.length != length {
				return responseHead{length: unframed}
			}
			he.length = length
		case bytes.EqualFold(key, []byte("Transfer-Encoding")):
			chunked = true
		}
	}
	if chunked {
		he.length = unframed
	}
	return he
}

// interim reports whether another response to the same request follows.
func (he responseHead) interim() bool {
	return he.status >= http.StatusContinue && he.status < http.StatusOK && he.status != http.StatusSwitchingProtocols
}

// bodyLength returns the length of the body, unframed if it is not known.
func (he responseHead) bodyLength(bodiless bool) int64 {
	if bodiless || he.status == http.StatusNoContent || he.status == http.StatusNotModified {
		return 0
	}
	return he.length
}
