package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"time"

	"github.com/linnetrudder/linnetrudder/standin/crowd"
)

// ClientCrowd is a number of clients that don't keep to the limits, before one gateway. Its fields are exported since
// it is plain data.
type ClientCrowd struct {
	Kind          crowd.Kind
	Size, Gateway int
	// Start and End are relative to the start of the run.
	Start, End time.Duration
}

const (
	// crowdMemoryMB and crowdFiles are the memory and the descriptors that the settings of gateways name if there are
	// crowds.
	crowdMemoryMB = 128
	crowdFiles    = 700
	// maxBodyBytes is the maximum size of a body, crowdBodyBytes the one if there are crowds.
	maxBodyBytes   = 1000
	crowdBodyBytes = 4 << 20
	// maxHeadBytes is the maximum size of a head.
	maxHeadBytes = 16384
	// crowdMeanInterval is the mean time between two crowds.
	crowdMeanInterval = 1500 * time.Millisecond
	// minCrowdSize and maxCrowdSize bound the number of clients of a crowd, minCrowdTime is how long it stays at least.
	minCrowdSize = 30
	maxCrowdSize = 200
	minCrowdTime = time.Second
	// headerCrowds is how many crowds send heads with many headers besides.
	headerCrowds = 2
	// crowdPath has no route, so that servers get none of the crowd's requests.
	crowdPath = "/nowhere/x"
	// usageInterval is the time between two readings of what the gateways use beside crowds.
	usageInterval = 100 * time.Millisecond
)

// crowdKinds are the kinds of clients in the order in which they are drawn.
var crowdKinds = []crowd.Kind{
	crowd.LargeChunksShort, crowd.OneChunkShort, crowd.ByteChunksShort, crowd.LengthShort, crowd.DeadlineShort, crowd.SmallShort,
	crowd.WholeBodies, crowd.EndlessChunks, crowd.Announced, crowd.Silent, crowd.LongHeads, crowd.TooLarge, crowd.EndlessExtension,
	crowd.EndlessTrailer, crowd.BytesBehind,
}

// WithCrowds adds clients that don't keep to the limits, several kinds at a time and one after the other. It has a
// random source of its own, so that the faults of the seed remain the same.
func (pl Plan) WithCrowds() Plan {
	rn := rand.New(rand.NewPCG(pl.Seed, pl.Seed+11))
	for at := warmUp; at < pl.FaultsEnd; at += time.Duration(rn.ExpFloat64() * float64(crowdMeanInterval)) {
		pl.Crowds = append(pl.Crowds, ClientCrowd{
			Kind: crowdKinds[rn.IntN(len(crowdKinds))], Size: minCrowdSize + rn.IntN(maxCrowdSize-minCrowdSize), Gateway: rn.IntN(pl.Gateways),
			Start: at, End: min(pl.FaultsEnd, at+minCrowdTime+time.Duration(rn.Int64N(int64(maxFaultDuration)))),
		})
	}
	for range headerCrowds {
		at := warmUp + time.Duration(rn.Int64N(int64(pl.FaultsEnd-warmUp)))
		pl.Crowds = append(pl.Crowds, ClientCrowd{Kind: crowd.ManyHeaders, Size: maxCrowdSize, Gateway: rn.IntN(pl.Gateways), Start: at, End: min(pl.FaultsEnd, at+2*minCrowdTime)})
	}
	return pl
}

// machineLimits returns the lines of the settings that name the memory and the descriptors of a gateway.
func (pl Plan) machineLimits() string {
	if len(pl.Crowds) == 0 {
		return ""
	}
	return fmt.Sprintf("memory_mb = %d\nmax_fds = %d", crowdMemoryMB, crowdFiles)
}

func (pl Plan) maxBodyBytes() int {
	if len(pl.Crowds) == 0 {
		return maxBodyBytes
	}
	return crowdBodyBytes
}

// gatherCrowd lets a crowd gather before its gateway. A part of the crowds ask for a service that exists.
func (sr *soakRun) gatherCrowd(cc ClientCrowd) {
	time.Sleep(time.Until(sr.history.start.Add(cc.Start)))
	path := crowdPath
	if cc.Size%2 == 0 && cc.Kind != crowd.WholeBodies && cc.Kind != crowd.BytesBehind {
		path = "/safe/x"
	}
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer %s\r\nX-Request-Id: crowd\r\n", path, sr.pickKey(1))
	cr := &crowd.Crowd{Kind: cc.Kind, Size: cc.Size, Target: crowd.Target{
		Address: sr.gateways[cc.Gateway].address, Head: head, BodyBytes: crowdBodyBytes, HeadBytes: 60_000, MaxHeadBytes: maxHeadBytes,
	}}
	ctx, cancel := context.WithDeadline(context.Background(), sr.history.start.Add(cc.End))
	defer cancel()
	cr.Run(ctx, func() {})
}

// machineUse is the most that a gateway has used of its machine: bytes that were not read, and descriptors.
type machineUse struct{ unread, descriptors int }

// watchUse measures what the gateways use until the context ends.
func (sr *soakRun) watchUse(ctx context.Context) {
	for ; ctx.Err() == nil; time.Sleep(usageInterval) {
		for i, gw := range sr.gateways {
			if !gw.restartMu.TryLock() {
				continue
			}
			pid := gw.process.PID()
			gw.restartMu.Unlock()
			_, text, _ := net.SplitHostPort(gw.address)
			port, _ := strconv.Atoi(text)
			us := crowd.NewUsage(pid, port)
			unread, err := us.Unread()
			descriptors, openErr := us.Descriptors()
			if err != nil || openErr != nil {
				continue // the process has ended
			}
			sr.mu.Lock()
			mu := &sr.history.use[i]
			mu.unread, mu.descriptors = max(mu.unread, unread), max(mu.descriptors, descriptors)
			sr.mu.Unlock()
		}
	}
}

// checkUse finds gateways that used more than their settings allow.
func (hi *history) checkUse() []Violation {
	var list []Violation
	for gateway, rr := range hi.resident {
		mu := hi.use[gateway]
		if rr.most+mu.unread > crowdMemoryMB<<20 {
			list = append(list, Violation{BoundedMemory, "", fmt.Sprintf("gateway %d used %d MB, and %d MB were not read", gateway, rr.most>>20, mu.unread>>20)})
		}
		if mu.descriptors > crowdFiles {
			list = append(list, Violation{BoundedMemory, "", fmt.Sprintf("gateway %d had %d descriptors", gateway, mu.descriptors)})
		}
	}
	return list
}
