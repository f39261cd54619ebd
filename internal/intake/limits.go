package intake

const (
	// DefaultMemory is the memory of a process in bytes if its settings name none.
	DefaultMemory = 256 << 20
	// DefaultFiles is the number of descriptors of a process if its settings name none.
	DefaultFiles = 4096

	// requestMemoryPart, connectionMemoryPart and unreadMemoryPart are the parts of the process's memory, as
	// divisors, for the content of callers' requests, for their connections and for what the kernel has received
	// for them.
	requestMemoryPart    = 6
	connectionMemoryPart = 6
	unreadMemoryPart     = 16
	// smallMemoryPart is the part of the memory for requests that only small ones may use, as a divisor.
	smallMemoryPart = 4
	// connectionBytes is the memory of a connection without the content of its request: two goroutines, the buffers
	// of the HTTP server and the parsed head.
	connectionBytes = 24 << 10

	// reservedFiles is the number of descriptors that the platform keeps for files, ownFiles the number for the
	// store, relays, readiness checks and metrics.
	reservedFiles = 200
	ownFiles      = 64

	// SmallBytes is the size up to which a request is small, in bytes.
	SmallBytes = 16 << 10
)

// HeapLimit returns the memory in bytes at which a process with a memory collects garbage as often as is useful. The
// rest is for what the kernel has received and for memory that the runtime does not count.
func HeapLimit(memory int64) int64 { return memory - 2*memory/unreadMemoryPart }

// Limits bound what the callers of a process may use together.
type Limits struct {
	// Memory is the maximum memory of all requests in bytes. Large requests leave SmallMemory of it to small ones.
	Memory, SmallMemory int64
	// Connections is the maximum number of connections.
	Connections int
	// Unread is the memory in bytes for what the kernel has received and the process has not read.
	Unread int64
}

// NewLimits returns the limits of a process with a memory in bytes and a number of descriptors. Zero stands for the
// defaults. Every second descriptor that is left is for a connection to a backend server.
func NewLimits(memory int64, files int) Limits {
	if memory <= 0 {
		memory = DefaultMemory
	}
	if files <= 0 {
		files = DefaultFiles
	}
	requests := memory / requestMemoryPart
	return Limits{
		Memory: requests, SmallMemory: requests / smallMemoryPart,
		Connections: max(1, min((files-reservedFiles-ownFiles)/2, int(memory/connectionMemoryPart/connectionBytes))),
		Unread:      memory / unreadMemoryPart,
	}
}
