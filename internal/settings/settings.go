// Package settings is what one process is told when it starts: who it is,
// where it listens and whom it may meet.
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

// Settings are the settings of a daemon in either role. They are written as
// JSON with comments; durations are in milliseconds.
type Settings struct {
	// Box is the name of the box, unique in the fleet.
	Box string `json:"box" validate:"required,max=64"`
	// DataCentre is the name of the data centre that the box stands in.
	DataCentre string `json:"data_centre" validate:"required,max=64"`
	// Listen is where callers (entry) or entries (agent) connect.
	Listen string `json:"listen" validate:"required"`
	// Admin is where operators, metrics and the balancer's checks connect.
	Admin string `json:"admin" validate:"required"`
	// LogLevel is debug, info, warn or error.
	LogLevel string `json:"log_level" validate:"oneof=debug info warn error"`
	// SharedKey proves a process of the system to another. It may be empty
	// only if Listen is a loopback address.
	SharedKey string `json:"shared_key"`
	// OperatorKeys are the SHA-256 digests of the operators' keys.
	OperatorKeys []string `json:"operator_keys" validate:"dive,len=64,hexadecimal"`
	// Platform is where the platform's services are met.
	Platform Platform `json:"platform"`
	// Limits bound what the process holds.
	Limits Limits `json:"limits"`
	// Server is the backend server beside an agent.
	Server Server `json:"server"`
}

// Platform holds the addresses of the platform's services.
type Platform struct {
	// Store is the key-value service, as IP number and port.
	Store string `json:"store"`
	// Boxes is the list of live and leaving boxes, as IP number and port.
	Boxes string `json:"boxes"`
	// Token goes with each call to the key-value service.
	Token string `json:"token"`
	// CallsPerSecond is this process's share of the service's rate.
	CallsPerSecond float64 `json:"calls_per_second" validate:"gt=0"`
	// TimeoutMS bounds a call that does not wait for a change.
	TimeoutMS int `json:"timeout_ms" validate:"min=1"`
	// WatchMS is how long one watch waits for a change.
	WatchMS int `json:"watch_ms" validate:"min=100"`
	// BoxesMS is the time between two readings of the list of boxes.
	BoxesMS int `json:"boxes_ms" validate:"min=100"`
}

// Limits bound what the process holds and how long it waits.
type Limits struct {
	// BodyBytes bounds the body of a request.
	BodyBytes int64 `json:"body_bytes" validate:"min=1"`
	// StreamBytes bounds what is held for a caller that reads slowly.
	StreamBytes int `json:"stream_bytes" validate:"min=1024"`
	// Queue bounds the requests that wait at an agent.
	Queue int `json:"queue" validate:"min=0"`
	// Bills bounds the bill records that wait for the key-value service.
	Bills int `json:"bills" validate:"min=1"`
	// HeartbeatMS is the time between two heartbeats on a connection; three
	// missed ones end it.
	HeartbeatMS int `json:"heartbeat_ms" validate:"min=10"`
	// RetryRatio is how many retries are allowed for each first attempt.
	RetryRatio float64 `json:"retry_ratio" validate:"min=0,max=1"`
	// StopMS bounds a planned stop.
	StopMS int `json:"stop_ms" validate:"min=1"`
	// BillFlushMS is the longest time that records wait to be written together.
	BillFlushMS int `json:"bill_flush_ms" validate:"min=1"`
	// ClaimFlushMS is the least time between two writes of one claim log.
	ClaimFlushMS int `json:"claim_flush_ms" validate:"min=1"`
}

// Server is the backend server beside an agent.
type Server struct {
	// Name is its name in the configuration.
	Name string `json:"name"`
	// Address is its IP number and port.
	Address string `json:"address"`
}

// Default returns the settings that hold where a file says nothing.
func Default() Settings {
	return Settings{
		LogLevel: "info",
		Platform: Platform{
			CallsPerSecond: 5,
			TimeoutMS:      1000,
			WatchMS:        30_000,
			BoxesMS:        1000,
		},
		Limits: Limits{
			BodyBytes:    1 << 20,
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

// Load reads and checks a file. The role is "entry" or "agent".
func Load(path, role string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, eris.Wrap(err, "read settings")
	}
	return Decode(data, role)
}

// Decode reads and checks settings written as JSON with comments.
func Decode(data []byte, role string) (Settings, error) {
	se := Default()
	if err := config.DecodeStrict(data, &se, result.BadSettings); err != nil {
		return Settings{}, err
	}
	return se, se.Validate(role)
}

// Validate checks each field; the error names the first that is wrong.
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
	if se.SharedKey == "" && !loopback(se.Listen) {
		return result.New(result.BadSettings, "shared_key: may be empty on a loopback address only")
	}
	if len(se.OperatorKeys) == 0 && !loopback(se.Admin) {
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

func loopback(address string) bool {
	ap, err := netip.ParseAddrPort(address)
	return err == nil && ap.Addr().IsLoopback()
}

// HeartbeatInterval returns the time between two heartbeats.
func (li Limits) HeartbeatInterval() time.Duration { return millis(li.HeartbeatMS) }

// StopTimeout returns the bound of a planned stop.
func (li Limits) StopTimeout() time.Duration { return millis(li.StopMS) }

// BillFlushInterval returns how long bill records wait to be written together.
func (li Limits) BillFlushInterval() time.Duration { return millis(li.BillFlushMS) }

// ClaimFlushInterval returns the least time between two writes of one claim log.
func (li Limits) ClaimFlushInterval() time.Duration { return millis(li.ClaimFlushMS) }

// Timeout returns the bound of a call to the key-value service.
func (pl Platform) Timeout() time.Duration { return millis(pl.TimeoutMS) }

// WatchTimeout returns how long one watch waits.
func (pl Platform) WatchTimeout() time.Duration { return millis(pl.WatchMS) }

// BoxesInterval returns the time between two readings of the list of boxes.
func (pl Platform) BoxesInterval() time.Duration { return millis(pl.BoxesMS) }

func millis(ms int) time.Duration { return time.Duration(ms) * time.Millisecond }
