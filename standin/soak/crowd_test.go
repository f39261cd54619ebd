package soak

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/linnetrudder/linnetrudder/standin/fleet"
)

const (
	// throttlePeriod is the period in which a throttled process runs for throttleRun.
	throttlePeriod = 100 * time.Millisecond
	throttleRun    = 8 * time.Millisecond
	// crowdInterval is the time between two new connections to the crowded gateway.
	crowdInterval = time.Second / 600
	// crowdLasts is how long they come, crowdSettled the time after which they have to be served.
	crowdLasts   = 8 * time.Second
	crowdSettled = 3 * time.Second
)

// throttle stops a process for most of each throttlePeriod until stop is closed.
func throttle(pr *fleet.Process, stop <-chan struct{}) {
	defer func() { _ = pr.Signal(syscall.SIGCONT) }()
	for {
		_ = pr.Signal(syscall.SIGSTOP)
		time.Sleep(throttlePeriod - throttleRun)
		_ = pr.Signal(syscall.SIGCONT)
		select {
		case <-stop:
			return
		case <-time.After(throttleRun):
		}
	}
}

// crowdCounts counts the requests to a crowded gateway after crowdSettled.
type crowdCounts struct {
	mu sync.Mutex
	// read is the number of requests that the crowded gateway read, answered that of those it answered.
	// unread is the number of connections that it closed unread, elsewhere that of those whose request
	// another gateway answered.
	read, answered, unread, elsewhere int
}

// sendCrowded sends a request on a new connection to the first gateway, and to another one if the
// connection is closed unread.
func (sr *soakRun) sendCrowded(client *http.Client, n int, counts *crowdCounts) {
	ou := outcome{id: fmt.Sprint("crowd-", n), path: "/safe/x", key: "key-1"}
	sr.sendRequest(client, &ou)
	served := ou.status == http.StatusOK && !ou.incomplete
	unread := ou.incomplete && ou.status == 0 && ou.done.Sub(ou.sent) < requestDeadline
	retried := outcome{id: fmt.Sprint("crowd-retry-", n), gateway: 1 + n%(len(sr.gateways)-1), path: "/safe/x", key: "key-1"}
	if unread {
		sr.sendRequest(client, &retried)
	}
	if ou.sent.Sub(sr.history.start) < crowdSettled {
		return
	}
	counts.mu.Lock()
	defer counts.mu.Unlock()
	switch {
	case unread:
		counts.unread++
		if retried.status == http.StatusOK {
			counts.elsewhere++
		}
	default:
		counts.read++
		if served {
			counts.answered++
		}
	}
}

// Guards against a gateway that gets most new connections, and has too little processor time for them,
// reading requests that it can't answer in time although others have room.
func TestCrowdedGatewayClosesConnectionsUnread(t *testing.T) {
	rn := &Runner{Bin: bin, Dir: t.TempDir(), CPUShare: 0.08}
	sr := rn.newRun(Plan{Gateways: 6, Servers: 8, FaultsEnd: crowdLasts, End: crowdLasts})
	defer sr.close()
	require.NoError(t, sr.start())
	time.Sleep(5 * time.Second) // until the gateways know each other
	stop := make(chan struct{})
	defer close(stop)
	go throttle(sr.gateways[0].process, stop)
	sr.history.start = time.Now()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: requestDeadline}
	var counts crowdCounts
	var callers sync.WaitGroup
	for n := 0; time.Since(sr.history.start) < crowdLasts; n++ {
		callers.Go(func() { sr.sendCrowded(client, n, &counts) })
		time.Sleep(crowdInterval)
	}
	callers.Wait()
	t.Logf("%d read, %d of them answered; %d closed unread, %d of them answered elsewhere", counts.read, counts.answered, counts.unread, counts.elsewhere)
	require.Positive(t, counts.unread)
	require.GreaterOrEqual(t, counts.answered, 3*counts.read/4)
	require.GreaterOrEqual(t, counts.elsewhere, 9*counts.unread/10)
}
