package direct

import (
	"time"

	"github.com/linnetrudder/linnetrudder/internal/result"
)

// Op is an operation that the gateway has to perform.
type Op string

// The operations.
const (
	// Send makes an attempt. An attempt that is still in progress is dropped first.
	Send Op = "send"
	// Deliver delivers the current answer to the caller.
	Deliver Op = "deliver"
	// Refuse ends the request with a code. Nothing was delivered.
	Refuse Op = "refuse"
	// Abort interrupts the response to the caller. Part of it was delivered.
	Abort Op = "abort"
)

// Step is an operation with its parameters.
type Step struct {
	op           Op
	attempt      int
	server       string
	model        string
	softDeadline time.Time
	hardDeadline time.Time
	resume       bool
	finalRun     bool
	escalate     bool
	fallback     bool
	code         result.Code
	retryAfter   time.Duration
}

// Op returns the operation.
func (st Step) Op() Op { return st.op }

// Attempt returns the number of the attempt, starting at 1.
func (st Step) Attempt() int { return st.attempt }

// Server returns the id of the server to send to.
func (st Step) Server() string { return st.server }

// Model returns the model to call, "" for a plain service.
func (st Step) Model() string { return st.model }

// SoftDeadline returns when an attempt without a response head is abandoned.
func (st Step) SoftDeadline() time.Time { return st.softDeadline }

// HardDeadline returns when an attempt without a response head is abandoned even if its server has
// responded to other requests meanwhile. It is not before SoftDeadline.
func (st Step) HardDeadline() time.Time { return st.hardDeadline }

// Resume reports whether the attempt resumes a stream.
func (st Step) Resume() bool { return st.resume }

// FinalRun reports whether this is the last attempt that may run, after earlier ones that did.
func (st Step) FinalRun() bool { return st.finalRun }

// Escalates reports whether the attempt calls a larger model although there is an answer. That
// answer is kept until the attempt's server has had time to reject it.
func (st Step) Escalates() bool { return st.escalate }

// Fallback reports whether the answer to deliver is the one from before an escalation.
func (st Step) Fallback() bool { return st.fallback }

// Code returns the final result code of Refuse and Abort.
func (st Step) Code() result.Code { return st.code }

// RetryAfter returns the Retry-After value of Refuse.
func (st Step) RetryAfter() time.Duration { return st.retryAfter }
