package crowd

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// samplePause is the pause between two readings of a process's usage.
const samplePause = 30 * time.Millisecond

// Usage is what a process uses of its machine, as the kernel reports it. It is safe for concurrent use.
type Usage struct {
	pid  int
	port int

	mu sync.Mutex
	// unread is the maximum of the bytes in the receive queues of the port, descriptors that of the open ones.
	unread, descriptors int
}

// NewUsage returns the usage of a process that listens on a port.
func NewUsage(pid, port int) *Usage { return &Usage{pid: pid, port: port} }

// Run reads the usage until the context ends or the process has.
func (us *Usage) Run(ctx context.Context) {
	for ctx.Err() == nil {
		unread, err := us.Unread()
		descriptors, openErr := us.Descriptors()
		if err != nil || openErr != nil {
			return
		}
		us.mu.Lock()
		us.unread, us.descriptors = max(us.unread, unread), max(us.descriptors, descriptors)
		us.mu.Unlock()
		time.Sleep(samplePause)
	}
}

// MaxUnread returns the most bytes that the kernel has held for the process at a time.
func (us *Usage) MaxUnread() int {
	us.mu.Lock()
	defer us.mu.Unlock()
	return us.unread
}

// MaxDescriptors returns the most descriptors that were open at a time.
func (us *Usage) MaxDescriptors() int {
	us.mu.Lock()
	defer us.mu.Unlock()
	return us.descriptors
}

// Descriptors returns the number of the process's open descriptors.
func (us *Usage) Descriptors() (int, error) {
	dir, err := os.Open(fmt.Sprintf("/proc/%d/fd", us.pid))
	if err != nil {
		return 0, eris.Wrap(err, "count descriptors")
	}
	defer dir.Close()
	names, err := dir.Readdirnames(-1)
	return len(names), eris.Wrap(err, "count descriptors")
}

// Resident returns the process's resident memory in bytes, PeakResident its maximum so far.
func (us *Usage) Resident() (int, error) { return us.status("VmRSS:") }

// PeakResident returns the maximum of the process's resident memory so far in bytes.
func (us *Usage) PeakResident() (int, error) { return us.status("VmHWM:") }

func (us *Usage) status(field string) (int, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", us.pid))
	if err != nil {
		return 0, eris.Wrap(err, "read memory")
	}
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(line, field); ok {
			kib, err := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB")))
			return kib << 10, eris.Wrap(err, "read memory")
		}
	}
	return 0, eris.Errorf("read memory: no %s", field)
}

// Unread returns the bytes that have arrived at the port and were not read.
func (us *Usage) Unread() (int, error) {
	data, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(us.pid), "net/tcp"))
	if err != nil {
		return 0, eris.Wrap(err, "read receive queues")
	}
	suffix := fmt.Sprintf(":%04X", us.port)
	total := 0
	for lines := bufio.NewScanner(bytes.NewReader(data)); lines.Scan(); {
		columns := strings.Fields(lines.Text())
		const local, state, queues, listening = 1, 3, 4, "0A"
		if len(columns) <= queues || !strings.HasSuffix(columns[local], suffix) || columns[state] == listening {
			continue
		}
		_, received, _ := strings.Cut(columns[queues], ":")
		n, err := strconv.ParseInt(received, 16, 64)
		if err != nil {
			return 0, eris.Wrap(err, "read receive queues")
		}
		total += int(n)
	}
	return total, nil
}
