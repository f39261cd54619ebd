package soak

import (
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"

	"github.com/linnetrudder/linnetrudder/standin/garble"
)

// ServerGarbles makes a backend server change a fraction of its responses on their way.
const ServerGarbles FaultKind = "server-changes"

const (
	// garblingCount is how many faults WithGarbling adds.
	garblingCount = 4
	// garbledFraction is the fraction of responses that are changed, garbledEventFraction that of events.
	garbledFraction      = 0.4
	garbledEventFraction = 0.08
	// surplusRejection is a part of another response behind or before the own one.
	surplusRejection = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: full\r\nContent-Length: 0\r\n\r\n"
	lastChunk        = "0\r\n\r\n"
	interimRejection = "HTTP/1.1 103 Early Hints\r\nX-Not-Executed: full\r\n\r\n"
)

// garbledChanges are the changes that ServerGarbles draws. They apply to what the server writes at once, a plain
// response or the next event of a stream.
var garbledChanges = []garble.Change{garble.Cut, garble.CutReset, garble.Split, garble.Glue, garble.Silence, garble.BadStatus, garble.BlankName, garble.Interim}

// WithGarbling adds servers that change their responses. It has a random source of its own, so that the other faults of
// the seed remain the same.
func (pl Plan) WithGarbling() Plan {
	rn := rand.New(rand.NewPCG(pl.Seed, pl.Seed+13))
	pl.Faults = slices.Clone(pl.Faults)
	for range garblingCount {
		pl.Faults = append(pl.Faults, pl.drawServerFault(rn, ServerGarbles))
	}
	slices.SortFunc(pl.Faults, func(a, b Fault) int { return int(a.Start - b.Start) })
	return pl
}

// garbleNext draws whether the next write of a response is changed. Responses that have begun get no interim response.
func (se *server) garbleNext(r *http.Request, fraction float64, begun bool) {
	rc, ok := r.Context().Value(repeatingConnKey{}).(*repeatingConn)
	if !ok || !se.faultActive(ServerGarbles, fraction) {
		return
	}
	changes := garbledChanges
	if begun || strings.HasPrefix(r.URL.Path, "/stream/") {
		changes = changes[:len(changes)-1]
	}
	rc.mu.Lock()
	defer rc.mu.Unlock()
	rc.change = changes[rand.IntN(len(changes))]
}

// writeChanged writes data with a change. The lock is held.
func (rc *repeatingConn) writeChanged(ch garble.Change, data []byte) (int, error) {
	switch ch {
	case garble.Cut, garble.CutReset, garble.Silence:
		if ch != garble.Silence {
			_, _ = rc.Conn.Write(data[:rand.IntN(len(data))])
		}
		if tc, ok := rc.Conn.(*net.TCPConn); ok && ch == garble.CutReset {
			_ = tc.SetLinger(0)
		}
		_ = rc.Close()
		return 0, net.ErrClosed
	case garble.Split:
		for i := range data {
			if _, err := rc.Conn.Write(data[i : i+1]); err != nil {
				return i, err
			}
		}
		return len(data), nil
	case garble.BadStatus, garble.BlankName:
		if _, err := io.WriteString(rc.Conn, garble.Malform(ch, string(data), rand.Float64())); err != nil {
			return 0, err
		}
		return len(data), nil
	case garble.Interim:
		_, _ = io.WriteString(rc.Conn, strings.Repeat(interimRejection, 1+rand.IntN(3)))
	default:
	}
	n, err := rc.Conn.Write(data)
	if ch == garble.Glue && err == nil {
		// The last bytes alone would be the sound end of a stream.
		_, _ = io.WriteString(rc.Conn, surplusRejection[rand.IntN(len(surplusRejection)-len(lastChunk)):])
	}
	return n, err
}
