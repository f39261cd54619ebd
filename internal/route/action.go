package route

import (
	"time"

	"github.com/linnetrudder/linnetrudder/internal/result"
	"github.com/linnetrudder/linnetrudder/internal/wire"
)

// Op is an operation that the entry has to perform.
type Op string

// The operations.
const (
	// Dispatch sends an attempt to a server.
	Dispatch Op = "dispatch"
	// Cancel cancels an attempt.
	Cancel Op = "cancel"
	// DeliverHead sends the caller the status and content type of the answer.
	DeliverHead Op = "deliver head"
	// Deliver sends the caller a part of the answer's body.
	Deliver Op = "deliver"
	// Close ends the request with a code. It is the last action.
	Close Op = "close"
)

// Action is an operation with its parameters.
type Action struct {
	op           Op
	attempt      int
	step         int
	target       string
	fromFirstTry bool
	server       string
	head         *wire.ResponseHead
	body         []byte
	code         result.Code
	retryAfter   time.Duration
}

// Op returns the operation.
func (ac Action) Op() Op { return ac.op }

// Attempt returns the number of the attempt, starting at 1.
func (ac Action) Attempt() int { return ac.attempt }

// Step returns the index of the cascade step, starting at 0.
func (ac Action) Step() int { return ac.step }

// Target returns the version or plain service that the attempt runs or that gave the answer.
func (ac Action) Target() string { return ac.target }

// FromFirstTry reports whether the answer is that of an earlier step than the last: it was accepted,
// or the later steps failed.
func (ac Action) FromFirstTry() bool { return ac.fromFirstTry }

// Server returns the name of the server to dispatch to.
func (ac Action) Server() string { return ac.server }

// Head returns the status and content type to deliver.
func (ac Action) Head() *wire.ResponseHead { return ac.head }

// Body returns the part of the body to deliver.
func (ac Action) Body() []byte { return ac.body }

// Code returns the final result code.
func (ac Action) Code() result.Code { return ac.code }

// RetryAfter returns the Retry-After value.
func (ac Action) RetryAfter() time.Duration { return ac.retryAfter }
