// Package settings reads and validates the settings file of an entry or agent process: its identity,
// its listen addresses, the addresses of the platform's services and its limits.
package settings

import (
	"fmt"
	"net/netip"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"github.com/linnetrudder/linnetrudder/internal/config"
	"github.com/linnetrudder/linnetrudder/internal/result"
)

// Settings are the settings of a daemon in either role. The file format is JSON with comments;
// durations are in milliseconds.
type Settings struct {
	// Box is the name of the box, unique in the fleet.
	Box string `json:"box" validate:"required,max=64"`
	// DataCentre is the name of the box's data centre.
	DataCentre string `json:"data_centre" validate:"required,max=64"`
	// Listen is the address for callers (entry) or entries (agent).
	Listen string `json:"listen" validate:"required"`
	// Admin is the address for operators, metrics and the load balancer's health checks.
	Admin string `json:"admin" validate:"required"`
	// LogLevel is debug, info, warn or error.
	LogLevel string `json:"log_level" validate:"oneof=debug info warn error"`
	// SharedKey authenticates the processes of the system to each other. It may be empty only if Listen
	// is a loopback address.
	SharedKey string `json:"shared_key"`
	// OperatorKeys are the hexadecimal SHA-256 digests of the operators' keys. It may be empty only if
	// Admin is a loopback address.
	OperatorKeys []string `json:"operator_keys" validate:"dive,len=64,hexadecimal"`
	// Platform holds the addresses of the platform's services and the limits of calls to them.
	Platform Platform `json:"platform"`
	// Limits bound the memory and the waiting times of the process.
	Limits Limits `json:"limits"`
	// Server is the backend server on an agent's box.
	Server Server `json:"server"`
}

// Platform holds the addresses of the platform's services and the limits of calls to them.
type Platform struct {
	// Store is the IP address and port of the key-value service.
	Store string `json:"store"`
	// Boxes is the IP address and port of the service that lists live and leaving boxes.
	Boxes string `json:"boxes"`
	// Token is the access token for the key-value service.
	Token string `json:"token"`
	// CallsPerSecond is this process's share of the rate limit of the key-value service.
	CallsPerSecond float64 `json:"calls_per_second" validate:"gt=0"`
	// TimeoutMS is the timeout of calls other than watches.
	TimeoutMS int `json:"timeout_ms" validate:"min=1"`
	// WatchMS is how long a watch waits for a change.
	WatchMS int `json:"watch_ms" validate:"min=100"`
	// BoxesMS is the interval between reads of the list of boxes.
	BoxesMS int `json:"boxes_ms" validate:"min=100"`
}

// Limits bound the memory and the waiting times of a process.
type Limits struct {
	// MemoryMB is the memory and Files the number of descriptors that the process may use. The callers of an entry
	// are limited by them.
	MemoryMB int `json:"memory_mb" validate:"min=64"`
	Files    int `json:"max_fds" validate:"min=300"`
	// BodyBytes is the maximum size of a request body, HeaderBytes that of a request header.
	BodyBytes   int64 `json:"body_bytes" validate:"min=1"`
	HeaderBytes int   `json:"header_bytes" validate:"min=1024"`
	// IdleMS is the time limit between the requests of a caller's connection.
	IdleMS int `json:"idle_ms" validate:"min=1"`
	// BodyStallMS is the time in which a part of an unfinished body must arrive, WriteStallMS the time in which a
	// caller must read a part of its response.
	BodyStallMS  int `json:"body_stall_ms" validate:"min=1"`
	WriteStallMS int `json:"write_stall_ms" validate:"min=1"`
	// StreamBytes is the maximum size of the response data that is buffered for a slow caller.
	StreamBytes int `json:"stream_bytes" validate:"min=1024"`
	// Queue is the maximum number of requests queued at an agent.
	Queue int `json:"queue" validate:"min=0"`
	// Bills is the maximum number of bill records buffered for the key-value service.
	Bills int `json:"bills" validate:"min=1"`
	// HeartbeatMS is the interval between heartbeats on a connection. Three missed heartbeats close it.
	HeartbeatMS int `json:"heartbeat_ms" validate:"min=10"`
	// RetryRatio is the number of retries allowed per first attempt.
	RetryRatio float64 `json:"retry_ratio" validate:"min=0,max=1"`
	// StopMS is the timeout of a graceful shutdown.
	StopMS int `json:"stop_ms" validate:"min=1"`
	// BillFlushMS is the maximum time that bill records wait to be written in a batch.
	BillFlushMS int `json:"bill_flush_ms" validate:"min=1"`
	// ClaimFlushMS is the minimum interval between writes of a claim log.
	ClaimFlushMS int `json:"claim_flush_ms" validate:"min=1"`
}

// Server is the backend server on an agent's box.
type Server struct {
	// Name is the server's name in the configuration.
	Name string `json:"name"`
	// Address is the server's IP address and port.
	Address string `json:"address"`
}

// Default returns the default settings.
func Default() Settings {
	return Settings{
		LogLevel: "info",
		Platform: Platform{
			CallsPerSecond: 5,
			TimeoutMS:      1000,
			WatchMS:        5000,
			BoxesMS:        1000,
		},
		Limits: Limits{
			MemoryMB:     1024,
			Files:        8192,
			BodyBytes:    1 << 20,
			HeaderBytes:  64 << 10,
			IdleMS:       120_000,
			BodyStallMS:  10_000,
			WriteStallMS: 30_000,
			StreamBytes:  256 << 10,
			Queue:        64,
			Bills:        100_000,
			HeartbeatMS:  8000,
			RetryRatio:   0.1,
			StopMS:       600_000,
			BillFlushMS:  2000,
			ClaimFlushMS: 500,
		},
	}
}

// Load reads and validates a settings file. The role is "entry" or "agent".
func Load(path, role string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, eris.Wrap(err, "read settings")
	}
	return Decode(data, role)
}

// Decode parses and validates settings in JSON with comments.
func Decode(data []byte, role string) (Settings, error) {
	se := Default()
	if err := config.DecodeStrict(data, &se, result.BadSettings); err != nil {
		return Settings{}, err
	}
	return se, se.Validate(role)
}

// Validate returns an error that names the first invalid field, or nil.
func (se *Settings) Validate(role string) error {
	if err := config.FirstInvalid(config.NewValidator().Struct(se), result.BadSettings); err != nil {
		return err
	}
	required := []field{{"listen", se.Listen}, {"admin", se.Admin}}
	if role == "entry" {
		required = append(required, field{"platform.store", se.Platform.Store}, field{"platform.boxes", se.Platform.Boxes})
	}
	if role == "agent" {
		if se.Server.Name == "" {
			return result.New(result.BadSettings, "server.name: must not be empty")
		}
		required = append(required, field{"server.address", se.Server.Address}, field{"platform.store", se.Platform.Store})
	}
	for _, fi := range required {
		if err := fi.checkAddress(); err != nil {
			return err
		}
	}
	if se.SharedKey == "" && !isLoopback(se.Listen) {
		return result.New(result.BadSettings, "shared_key: may be empty only if listen is a loopback address")
	}
	if len(se.OperatorKeys) == 0 && !isLoopback(se.Admin) {
		return result.New(result.BadSettings, "operator_keys: may be empty only if admin is a loopback address")
	}
	return nil
}

type field struct{ name, value string }

func (fi field) checkAddress() error {
	if _, err := netip.ParseAddrPort(fi.value); err != nil {
		return result.New(result.HostName, fmt.Sprintf("%s: %q", fi.name, fi.value))
	}
	return nil
}

func isLoopback(address string) bool {
	ap, err := netip.ParseAddrPort(address)
	return err == nil && ap.Addr().IsLoopback()
}

// HeartbeatInterval returns the interval between heartbeats on a connection.
func (li Limits) HeartbeatInterval() time.Duration { return milliseconds(li.HeartbeatMS) }

// Memory returns the memory that the process may use in bytes.
func (li Limits) Memory() int64 { return int64(li.MemoryMB) << 20 }

// IdleTimeout returns the time limit between the requests of a caller's connection.
func (li Limits) IdleTimeout() time.Duration { return milliseconds(li.IdleMS) }

// BodyStall returns the time in which a part of an unfinished body must arrive.
func (li Limits) BodyStall() time.Duration { return milliseconds(li.BodyStallMS) }

// WriteStall returns the time in which a caller must read a part of its response.
func (li Limits) WriteStall() time.Duration { return milliseconds(li.WriteStallMS) }

// StopTimeout returns the timeout of a graceful shutdown.
func (li Limits) StopTimeout() time.Duration { return milliseconds(li.StopMS) }

// BillFlushInterval returns the maximum time that bill records wait to be written in a batch.
func (li Limits) BillFlushInterval() time.Duration { return milliseconds(li.BillFlushMS) }

// ClaimFlushInterval returns the minimum interval between writes of a claim log.
func (li Limits) ClaimFlushInterval() time.Duration { return milliseconds(li.ClaimFlushMS) }

// Timeout returns the timeout of calls to the platform's services other than watches.
func (pl Platform) Timeout() time.Duration { return milliseconds(pl.TimeoutMS) }

// WatchTimeout returns how long a watch waits for a change.
func (pl Platform) WatchTimeout() time.Duration { return milliseconds(pl.WatchMS) }

// BoxesInterval returns the interval between reads of the list of boxes.
func (pl Platform) BoxesInterval() time.Duration { return milliseconds(pl.BoxesMS) }

func milliseconds(ms int) time.Duration { return time.Duration(ms) * time.Millisecond }
