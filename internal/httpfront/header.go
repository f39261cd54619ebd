package httpfront

import "net/http"

const (
	// minReadBytes is the size up to which a request header is read in any case, in bytes, so that a limit that
	// is raised to as much takes effect on open connections.
	minReadBytes = 64 << 10
	// headerTolerance is how much longer than the limit a header may be, in bytes, as in net/http.
	headerTolerance = 4 << 10
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

// headerBytes returns the size of a request header with its request line.
func headerBytes(r *http.Request) int {
	const lineEnd, separator = len("\r\n"), len(": ")
	size := len(r.Method) + len(" ") + len(r.RequestURI) + len(" ") + len(r.Proto) + lineEnd
	size += len("Host") + separator + len(r.Host) + lineEnd
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + separator + len(value) + lineEnd
		}
	}
	return size + lineEnd
}
