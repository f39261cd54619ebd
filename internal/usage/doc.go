// Package usage counts the requests that began to run, by team and window of time, adds up the
// counts of all gateways and has one of them report each window to the platform.
//
// Every gateway counts its own requests and sends the counts to its collectors, which send those of
// their group to the holder of the duty and to the process that would succeed it. The holder stores
// the totals of a window before it reports them, so that a successor repeats exactly the same report.
package usage
