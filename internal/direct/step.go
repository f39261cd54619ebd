package direct

import (
	"time"

	"github.com/linnetrudder/linnetrudder/internal/result"
)

// Op is what the shell must do next.
type Op string

// The things to do.
const (
	// Send makes an attempt; one that is still open is dropped first.
	Send Op = "send"
	// Deliver gives the caller the answer at hand.
	Deliver Op = "deliver"
	// Refuse ends the request with a code; nothing was delivered.
	Refuse Op = "refuse"
	// Abort breaks the caller's answer off; a part of it was delivered.
	Abort Op = "abort"
)

// Step is one thing to do.
type Step struct {
	do       Op
	attempt  int
	server   string
	model    string
	patience time.Time
	limit    time.Time
	resume   bool
	last     bool
	escalate bool
	fallback bool
	code     result.Code
	after    time.Duration
}

// Op returns what to do.
func (st Step) Op() Op { return st.do }

// Attempt returns the attempt's number, from 1.
func (st Step) Attempt() int { return st.attempt }

// Server returns the id of the server to send to.
func (st Step) Server() string { return st.server }

// Model returns the model to ask, "" for a plain service.
func (st Step) Model() string { return st.model }

// SoftDeadline returns when an attempt without the head of an answer is given up.
func (st Step) SoftDeadline() time.Time { return st.patience }

// HardDeadline returns when an attempt without the head of an answer is given up even
// if its server has answered others meanwhile; it is not before Patience.
func (st Step) HardDeadline() time.Time { return st.limit }

// Resume reports whether the attempt continues a stream.
func (st Step) Resume() bool { return st.resume }

// FinalRun reports whether the attempt is the last that may run, after others that did.
func (st Step) FinalRun() bool { return st.last }

// Escalates reports whether the attempt asks a larger model although an answer is at hand. The shell
// holds that answer until the attempt's server had time to reject it.
func (st Step) Escalates() bool { return st.escalate }

// Fallback reports whether the answer to deliver is the one held since an escalation.
func (st Step) Fallback() bool { return st.fallback }

// Code returns the final code of a refusal.
func (st Step) Code() result.Code { return st.code }

// RetryAfter returns when a refused caller may come back.
func (st Step) RetryAfter() time.Duration { return st.after }
