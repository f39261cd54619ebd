package gateway

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/linnetrudder/linnetrudder/internal/result"
)

var (
	storeFailures = metrics.NewCounter(`linnetrudder_store_failures_total`)
	// configVersion is the version of the configuration in force, configAgeSeconds the upper bound of its
	// age.
	configVersion       = metrics.NewGauge(`linnetrudder_config_version`, nil)
	configAgeSeconds    = metrics.NewGauge(`linnetrudder_config_age_seconds`, nil)
	storeEra            = metrics.NewGauge(`linnetrudder_store_era`, nil)
	serverEnds          = metrics.NewCounter(`linnetrudder_server_ends_total`)
	partBlocks          = metrics.NewCounter(`linnetrudder_part_blocks_total`)
	requestBlocks       = metrics.NewCounter(`linnetrudder_request_blocks_total`)
	serverLimits        = metrics.NewCounter(`linnetrudder_server_limits_total`)
	serverPauses        = metrics.NewCounter(`linnetrudder_server_pauses_total`)
	serversLeaving      = metrics.NewCounter(`linnetrudder_servers_leaving_total`)
	responsesUnrelated  = metrics.NewCounter(`linnetrudder_responses_unrelated_total`)
	reportsUnreadable   = metrics.NewCounter(`linnetrudder_reports_unreadable_total`)
	connectionsRejected = metrics.NewCounter(`linnetrudder_connections_rejected_total`)
	unusableEntries     = metrics.NewCounter(`linnetrudder_unusable_entries_total`)
	// requestsEnded counts requests that had no answer at the end of a planned stop.
	requestsEnded = metrics.NewCounter(`linnetrudder_requests_ended_total`)
	// departedUnsent counts requests whose callers left before anything was sent to a server.
	departedUnsent = metrics.NewCounter(`linnetrudder_departed_unsent_total`)
	// attemptsUnwanted counts attempts sent to a server that is shutting down or has asked for a pause.
	attemptsUnwanted = metrics.NewCounter(`linnetrudder_attempts_unwanted_total`)
	// outdatedChoices counts the departures of servers that became known only after the server had been
	// chosen again, departureLag the upper bounds of the time from a departure until it was known.
	outdatedChoices = metrics.NewCounter(`linnetrudder_outdated_choices_total`)
	departureLag    = metrics.NewHistogram(`linnetrudder_departure_lag_seconds`)
	// departuresAgeSeconds is the upper bound of the time since all departures of servers were known.
	departuresAgeSeconds = metrics.NewGauge(`linnetrudder_departures_age_seconds`, nil)
)

// countRequest counts a final outcome and its latency in seconds.
func countRequest(kind string, co result.Code, seconds float64) {
	name := result.Lookup(co).Name()
	metrics.GetOrCreateCounter(fmt.Sprintf(`linnetrudder_requests_total{kind=%q,outcome=%q}`, kind, name)).Inc()
	metrics.GetOrCreateHistogram(fmt.Sprintf(`linnetrudder_request_seconds{kind=%q}`, kind)).Update(seconds)
}

// countAttempt counts the outcome of an attempt.
func countAttempt(service string, outcome attemptOutcome) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`linnetrudder_attempts_total{service=%q,outcome=%q}`, service, outcome)).Inc()
}
