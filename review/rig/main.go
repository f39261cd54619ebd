// Command rig starts gateways of linnetrudder as processes, with stand-ins of the platform's store, the
// workers and the clients, and checks one rule of the platform's pages.
package main

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// scene is what every case uses.
type scene struct {
	// root is the root of the repository, dir a temporary folder.
	root, dir string
	// trouble is set if the disruption is played.
	trouble bool
	record  *bufio.Writer
	began   time.Time

	// exitedAt is when a process that was stopped had ended.
	mu       sync.Mutex
	exitedAt time.Time
}

// notef writes a line to the record.
func (sc *scene) notef(format string, args ...any) {
	fmt.Fprintf(sc.record, "%8.3f  "+format+"\n", append([]any{time.Since(sc.began).Seconds()}, args...)...)
}

// at returns a time in seconds since the start.
func (sc *scene) at(t time.Time) string {
	if t.IsZero() {
		return "-"
	}
	return fmt.Sprintf("%.3f", t.Sub(sc.began).Seconds())
}

// cases holds the cases by name. The files of the cases add them.
var cases = map[string]func(*scene) (int, error){}

func main() { os.Exit(play()) }

func play() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE FOLDER")
		return exitNotRun
	}
	endOnSignal()
	root, err := os.Getwd()
	if err != nil {
		return exitNotRun
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return exitNotRun
	}
	defer os.RemoveAll(dir)
	file, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		return exitNotRun
	}
	defer file.Close()
	sc := &scene{root: root, dir: dir, trouble: os.Getenv("TROUBLE") != "0", record: bufio.NewWriter(file), began: time.Now()}
	defer sc.record.Flush()
	code, err := cases[os.Args[1]](sc)
	if err != nil {
		sc.notef("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	return code
}
