package directory

import (
	"math"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// maxNameBytes is the maximum length of the names in an entry. Keys, which hold names, are no longer.
	maxNameBytes = 200
	// maxSlots and maxSeq bound numbers that count, maxColdTime and maxClockLead times.
	maxSlots     = 1 << 20
	maxSeq       = 1 << 53
	maxColdTime  = 24 * time.Hour
	maxClockLead = 24 * time.Hour
)

var (
	errNoName    = eris.New("a name is missing")
	errLongName  = eris.Errorf("a name is longer than %d bytes", maxNameBytes)
	errAddress   = eris.New("no server can have the address")
	errSlots     = eris.Errorf("the number of slots is not from 1 to %d", maxSlots)
	errColdTime  = eris.Errorf("the cold time is not from 0 to %s", maxColdTime)
	errSeq       = eris.Errorf("the sequence number is not from 0 to %d", int64(maxSeq))
	errStartTime = eris.Errorf("the start time is negative or more than %s ahead", maxClockLead)
)

// Millis converts a reported number of milliseconds, which may be beyond what a duration holds.
func Millis(ms int64) time.Duration {
	const most = math.MaxInt64 / int64(time.Millisecond)
	return time.Duration(min(most, max(-most, ms))) * time.Millisecond
}

// Validate returns an error if no server can have written an entry. slots is the number of requests that the server
// processes concurrently, now the time of day. Values out of range would count as later than those that the server
// writes.
func (se *Server) Validate(slots int, now time.Time) error {
	switch {
	case se.Service == "" || se.DataCentre == "":
		return errNoName
	case max(len(se.Service), len(se.Address), len(se.DataCentre), len(se.Version)) > maxNameBytes:
		return errLongName
	case slots < 1 || slots > maxSlots:
		return errSlots
	case se.ColdFor < 0 || se.ColdFor > maxColdTime:
		return errColdTime
	case se.Seq < 0 || se.Seq > maxSeq:
		return errSeq
	case se.Born < 0 || se.Born > now.Add(maxClockLead).UnixMilli():
		return errStartTime
	}
	return validateAddress(se.Address)
}

// validateAddress returns an error unless a server can be reached at an address.
func validateAddress(address string) error {
	ap, err := netip.ParseAddrPort(address)
	if err != nil {
		return eris.Wrap(err, "address")
	}
	ip := ap.Addr().Unmap()
	if ap.Port() == 0 || ip.IsUnspecified() || ip.IsMulticast() || ip == netip.AddrFrom4([4]byte{255, 255, 255, 255}) {
		return errAddress
	}
	return nil
}
