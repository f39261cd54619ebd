// Rig-2 plays the scripts of the second review. It holds small stand-ins for the platform's store, the
// workers and the clients, as the users' pages describe them, and starts the project's gateways as
// separate processes.
package main

import (
	"fmt"
	"net/http"
	"os"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// limit is the longest time that a script runs.
const limit = 118 * time.Second

func must(err error) {
	if err != nil {
		panic(err)
	}
}

// world is what a script has started.
type world struct {
	dir      string
	rec      *record
	st       *store
	gateways []*gateway
	workers  []*worker
	trouble  bool
}

var zones = []string{"gikondo", "kicukiro", "masaka", "kicukiro"}

func main() {
	code := exitNotRun
	defer func() {
		if problem := recover(); problem != nil {
			fmt.Println("not run:", problem)
			code = exitNotRun
		}
		os.Exit(code)
	}()
	if len(os.Args) != 3 {
		fmt.Println("usage: rig-2 CASE FOLDER")
		return
	}
	dir, err := os.MkdirTemp("", "review-2-")
	must(err)
	defer os.RemoveAll(dir)
	wo := &world{dir: dir, rec: newRecord(os.Args[2] + "/record.txt"), st: newStore(), trouble: os.Getenv("TROUBLE") != "0"}
	defer wo.end()
	time.AfterFunc(limit, func() {
		fmt.Println("not run: it took too long")
		wo.end()
		_ = os.RemoveAll(dir)
		os.Exit(exitNotRun)
	})
	play, ok := cases[os.Args[1]]
	if !ok {
		fmt.Println("no such case")
		return
	}
	code = play(wo)
}

func (wo *world) end() {
	for _, ga := range wo.gateways {
		ga.kill()
	}
}

// addWorker starts a worker.
func (wo *world) addWorker(worker *worker) *worker {
	worker.start(wo.st, wo.rec)
	wo.workers = append(wo.workers, worker)
	wo.rec.line(time.Now(), "worker %s service=%s version=%s starts", worker.id, worker.service, worker.version)
	return worker
}

// addGateway creates a gateway before its own address of the store.
func (wo *world) addGateway(away func() bool) *gateway {
	n := len(wo.gateways)
	zone := zones[n%len(zones)]
	ga := newGateway(wo.dir, fmt.Sprintf("front-%s-%d", zone, n+1), zone, wo.st.listen(away))
	wo.gateways = append(wo.gateways, ga)
	return ga
}

// awaitReady waits until all gateways that run are ready.
func (wo *world) awaitReady() {
	for end := time.Now().Add(15 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		ready := true
		for _, ga := range wo.gateways {
			ready = ready && (ga.cmd == nil || ga.isReady())
		}
		if ready {
			return
		}
		if time.Now().After(end) {
			panic("the gateways don't get ready")
		}
	}
}

// newClient returns a client whose connections are kept.
func newClient() *http.Client {
	return &http.Client{
		Timeout:       30 * time.Second,
		Transport:     &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}
