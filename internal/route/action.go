package route

import (
	"time"

	"github.com/linnetrudder/linnetrudder/internal/result"
	"github.com/linnetrudder/linnetrudder/internal/wire"
)

// Op is what the shell must do.
type Op string

// The things to do.
const (
	// Dispatch sends an attempt to a server.
	Dispatch Op = "dispatch"
	// Cancel stops an attempt.
	Cancel Op = "cancel"
	// DeliverHead sends the caller the status and type of the answer.
	DeliverHead Op = "deliver head"
	// Deliver sends the caller a part of the answer.
	Deliver Op = "deliver"
	// Close ends the request with a code; it is the last action.
	Close Op = "close"
)

// Action is one thing to do.
type Action struct {
	do         Op
	attempt    int
	step       int
	what       string
	kept       bool
	server     string
	head       *wire.AnswerHead
	body       []byte
	code       result.Code
	retryAfter time.Duration
}

// Op returns what to do.
func (ac Action) Op() Op { return ac.do }

// Attempt returns the attempt's number, from 1.
func (ac Action) Attempt() int { return ac.attempt }

// Step returns the place in the cascade, from 0.
func (ac Action) Step() int { return ac.step }

// Target returns the version or plain service to run, or that the answer is of.
func (ac Action) Target() string { return ac.what }

// FirstTryAccepted reports whether the answer is a first try that was kept.
func (ac Action) FirstTryAccepted() bool { return ac.kept }

// Server returns the server to send to.
func (ac Action) Server() string { return ac.server }

// Head returns the status and type to deliver.
func (ac Action) Head() *wire.AnswerHead { return ac.head }

// Body returns the part to deliver.
func (ac Action) Body() []byte { return ac.body }

// Code returns the final code.
func (ac Action) Code() result.Code { return ac.code }

// RetryAfter returns when the caller may come back.
func (ac Action) RetryAfter() time.Duration { return ac.retryAfter }
