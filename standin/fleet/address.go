package fleet

import (
	"net"
	"os"
	"sync"

	"github.com/rotisserie/eris"
)

// processLoopbackIP returns a loopback address that is derived from the process id, so that no other
// process issues the same addresses. Outgoing connections use 127.0.0.1 as their source, so none of them can
// take a port of this address between the probe and the time when a started process listens on it, or
// while that process restarts.
func processLoopbackIP() net.IP {
	id := os.Getpid()
	const first = 16 // 127.0.0.0/12 is reserved for all other uses
	return net.IPv4(127, byte(first+id>>16), byte(id>>8), byte(id))
}

// issued holds all addresses that FreeAddress returned. A port that its process has not bound yet, or
// not bound again after a restart, would otherwise be issued a second time.
var issued = struct {
	sync.Mutex
	addresses map[string]bool
}{addresses: map[string]bool{}}

// FreeAddress returns a loopback address that is free now, that no outgoing connection uses and that
// was not returned before.
func FreeAddress() (string, error) {
	issued.Lock()
	defer issued.Unlock()
	for {
		address, err := probeFreeAddress()
		if err != nil {
			return "", err
		}
		if !issued.addresses[address] {
			issued.addresses[address] = true
			return address, nil
		}
	}
}

// probeFreeAddress listens on a port chosen by the kernel and closes it again.
func probeFreeAddress() (string, error) {
	li, err := net.Listen("tcp", net.JoinHostPort(processLoopbackIP().String(), "0"))
	if err != nil {
		return "", eris.Wrap(err, "find a free port")
	}
	defer li.Close()
	return li.Addr().String(), nil
}
