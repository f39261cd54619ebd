package httpfront

import (
	"bytes"
	"net/http"
)

const (
	// minReadBytes is the size up to which a request header is read in any case, in bytes, so that a limit that
	// is raised to as much takes effect on open connections.
	minReadBytes = 64 << 10
	// headerTolerance is how much longer than the limit a header may be, in bytes, as in net/http.
	headerTolerance = 4 << 10
	// headerFieldBytes is the memory of a header in a parsed head besides its name and value, and of its copy for an
	// attempt, in bytes.
	headerFieldBytes = 256
)

// headerLimiter rejects requests whose header exceeds both the limit in force and the one that was in force when
// their connection was accepted.
type headerLimiter struct {
	next     http.Handler
	accepted int
	limits   func() Limits
}

// limit returns the maximum size of a request header in bytes.
func (hl *headerLimiter) limit() int { return max(hl.accepted, hl.limits().HeaderBytes) }

// ServeHTTP serves one request.
func (hl *headerLimiter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if cc := connOf(r.Context()); cc != nil {
		cc.begin(r)
	}
	if headerBytes(r) > hl.limit()+headerTolerance {
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusRequestHeaderFieldsTooLarge)
		return
	}
	hl.next.ServeHTTP(w, r)
}

// headerBytes returns the size of a request header with its request line, without optional spaces.
func headerBytes(r *http.Request) int {
	const end, separator = len("\r\n"), len(":")
	size := len(r.Method) + len(" ") + len(r.RequestURI) + len(" ") + len(r.Proto) + end
	size += len("Host") + separator + len(r.Host) + end
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + separator + len(value) + end
		}
	}
	return size + end
}

// parsedHeadBytes returns the memory of a parsed head in bytes.
func parsedHeadBytes(r *http.Request) int {
	lines := 0
	for _, values := range r.Header {
		lines += len(values)
	}
	return headMemory(headerBytes(r), lines)
}

// headMemory returns the memory in bytes of a head with a size and a number of lines once it is parsed.
func headMemory(size, lines int) int { return size + lines*headerFieldBytes }

var lineEnd = []byte{'\n'}

// headScanner counts the bytes and the lines of a head as it arrives, up to the empty line at its end.
type headScanner struct {
	bytes, lines int
	// lineBytes is the size of the last line, which is unfinished.
	lineBytes int
	ended     bool
}

func (hs *headScanner) scan(chunk []byte) {
	const emptyLine = len("\r")
	for len(chunk) > 0 && !hs.ended {
		line, rest, complete := bytes.Cut(chunk, lineEnd)
		chunk = rest
		hs.bytes += len(line)
		hs.lineBytes += len(line)
		if complete {
			hs.ended = hs.lines > 0 && hs.lineBytes <= emptyLine
			hs.bytes += len(lineEnd)
			hs.lines++
			hs.lineBytes = 0
		}
	}
}

func (hs *headScanner) memory() int { return headMemory(hs.bytes, hs.lines) }
