package fleet

import (
	"net"
	"os"
	"sync"

	"github.com/rotisserie/eris"
)

// ownIP is a loopback address that only this process hands out, made from its
// process id. Outgoing connections leave from 127.0.0.1, so that none of them
// can take a port here between the moment it is found free and the moment a
// started process listens on it, or while that process is restarted.
func processLoopbackIP() net.IP {
	id := os.Getpid()
	const first = 16 // 127.0.0.0/12 is left to everything else
	return net.IPv4(127, byte(first+id>>16), byte(id>>8), byte(id))
}

// given holds the addresses that were handed out: a port that is free again
// because its process has not bound it yet, or is being restarted, is not handed
// out a second time.
var issued = struct {
	sync.Mutex
	addresses map[string]bool
}{addresses: map[string]bool{}}

// FreeAddress returns a loopback address that is free now, that no outgoing
// connection takes and that was not returned before.
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

func probeFreeAddress() (string, error) {
	li, err := net.Listen("tcp", net.JoinHostPort(processLoopbackIP().String(), "0"))
	if err != nil {
		return "", eris.Wrap(err, "free port")
	}
	defer li.Close()
	return li.Addr().String(), nil
}
