// Package event is the catalogue of numbered events that every process logs
// and keeps for the time line.
package event

// ID is the number of one kind of event.
type ID int

// The events. The first digit groups them: 1 process, 2 request at an entry,
// 3 request at an agent, 4 configuration, 5 connections and membership,
// 6 bills and claims, 7 roll-outs, 8 the key-value service.
const (
	ProcessStarted   ID = 100
	ProcessStopping  ID = 101
	ProcessStopped   ID = 102
	ServiceRestarted ID = 103
	RequestReceived  ID = 200
	RequestRouted    ID = 201
	RequestRetried   ID = 202
	RequestEscalated ID = 203
	RequestAnswered  ID = 204
	RequestRefused   ID = 205
	RequestFailed    ID = 206
	AttemptAdmitted  ID = 300
	AttemptQueued    ID = 301
	AttemptRefused   ID = 302
	AttemptEnded     ID = 303
	AttemptCancelled ID = 304
	ConfigAccepted   ID = 400
	ConfigInForce    ID = 401
	ConfigRefused    ID = 402
	ConfigConflict   ID = 403
	WatchStarted     ID = 404
	WatchStopped     ID = 405
	LinkUp           ID = 500
	LinkDown         ID = 501
	LinkRefused      ID = 502
	BoxesChanged     ID = 503
	OrderGiven       ID = 505
	BillWritten      ID = 600
	BillHeld         ID = 601
	ClaimWon         ID = 602
	ClaimLost        ID = 603
	RolloutStep      ID = 700
	RolloutReversed  ID = 701
	StoreCallFailed  ID = 800
)

// Row describes one event for people.
type Row struct {
	id   ID
	name string
	text string
}

// ID returns the number.
func (ro Row) ID() ID { return ro.id }

// Name returns the short name.
func (ro Row) Name() string { return ro.name }

// Text returns the sentence for people.
func (ro Row) Text() string { return ro.text }

var rows = []Row{
	{ProcessStarted, "process_started", "the process serves"},
	{ProcessStopping, "process_stopping", "a planned stop has begun; no new work is taken"},
	{ProcessStopped, "process_stopped", "all work in progress has ended"},
	{ServiceRestarted, "service_restarted", "the supervisor restarted a part of the process"},
	{RequestReceived, "request_received", "a caller's request was read and its team known"},
	{RequestRouted, "request_routed", "an attempt was sent to a backend server"},
	{RequestRetried, "request_retried", "a refused or failed attempt is followed by another"},
	{RequestEscalated, "request_escalated", "a cascade goes on to a stronger version"},
	{RequestAnswered, "request_answered", "the whole answer was delivered"},
	{RequestRefused, "request_refused", "the request was refused and did not run"},
	{RequestFailed, "request_failed", "the request ended without a whole answer"},
	{AttemptAdmitted, "attempt_admitted", "the agent started an attempt on its backend server"},
	{AttemptQueued, "attempt_queued", "the agent put an attempt into its queue"},
	{AttemptRefused, "attempt_refused", "the agent refused an attempt; it did not run"},
	{AttemptEnded, "attempt_ended", "an attempt ended"},
	{AttemptCancelled, "attempt_cancelled", "an attempt was cancelled and its place freed"},
	{ConfigAccepted, "config_accepted", "a configuration change was written"},
	{ConfigInForce, "config_in_force", "a revision came into force in this process"},
	{ConfigRefused, "config_refused", "a revision was not taken"},
	{ConfigConflict, "config_conflict", "a change lost against another operator's"},
	{WatchStarted, "watch_started", "this process watches the key-value service for its data centre"},
	{WatchStopped, "watch_stopped", "this process no longer watches the key-value service"},
	{LinkUp, "link_up", "a connection between two processes is open"},
	{LinkDown, "link_down", "a connection between two processes has ended"},
	{LinkRefused, "link_refused", "a peer did not prove the shared key"},
	{BoxesChanged, "boxes_changed", "the list of boxes changed"},
	{OrderGiven, "order_given", "the agent ordered its backend server to load or unload a version"},
	{BillWritten, "bill_written", "bill records are durable"},
	{BillHeld, "bill_held", "bill records wait for the key-value service"},
	{ClaimWon, "claim_won", "a claim is durable"},
	{ClaimLost, "claim_lost", "a claim was made by somebody else before"},
	{RolloutStep, "rollout_step", "a version's share of new work changed"},
	{RolloutReversed, "rollout_reversed", "a version was rolled back"},
	{StoreCallFailed, "store_call_failed", "a call to the key-value service failed"},
}

var names = func() map[ID]string {
	m := make(map[ID]string, len(rows))
	for _, ro := range rows {
		m[ro.id] = ro.name
	}
	return m
}()

// Rows returns a copy of the catalogue.
func Rows() []Row { return append([]Row(nil), rows...) }

// Name returns the short name of an event, or "unknown".
func Name(id ID) string {
	if na, ok := names[id]; ok {
		return na
	}
	return "unknown"
}
