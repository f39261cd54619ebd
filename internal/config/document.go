// Package config is the operators' configuration: labels on models, versions,
// backend servers and teams, the selectors over them, and what follows from
// them for a request.
package config

import (
	"slices"
	"time"

	"github.com/linnetrudder/linnetrudder/internal/selector"
)

// State is where a version stands in its life.
type State string

// The states of a version.
const (
	// RollingIn takes its share of new work.
	RollingIn State = "rolling-in"
	// Serving takes the rest of the new work.
	Serving State = "serving"
	// RollingOut takes the requests of its own sessions only.
	RollingOut State = "rolling-out"
	// Withdrawn takes nothing new, not even for its own sessions.
	Withdrawn State = "withdrawn"
)

// MaxBytes bounds an encoded document, so that it fits into one value of the
// key-value service with room for its envelope.
const MaxBytes = 900 << 10

// Document is the configuration as operators write it and as it is stored.
// Its fields are exported because codecs need them; the rest of the system
// reads a Snapshot.
type Document struct {
	// Models are what callers name.
	Models []Model `json:"models" validate:"dive"`
	// Versions are the versions of models.
	Versions []Version `json:"versions" validate:"dive"`
	// Servers are backend servers, each behind its own agent.
	Servers []Server `json:"servers" validate:"dive"`
	// Services are plain services under their own path prefix.
	Services []Service `json:"services,omitempty" validate:"dive"`
	// Teams are the customers that share the platform.
	Teams []Team `json:"teams" validate:"dive"`
	// Grants say which teams may use which versions and services.
	Grants []Grant `json:"grants" validate:"dive"`
	// Kinds say how requests of a kind are served.
	Kinds []Kind `json:"kinds,omitempty" validate:"dive"`
	// Rollouts are the plans by which versions come in.
	Rollouts []Rollout `json:"rollouts,omitempty" validate:"dive"`
	// Evacuations are the data centres whose servers are to get nothing new.
	Evacuations []Evacuation `json:"evacuations,omitempty" validate:"dive"`
}

// Evacuation empties a data centre: its servers finish what they run and get nothing new
// until it is taken away.
type Evacuation struct {
	DataCentre string `json:"data_centre" validate:"required"`
}

// Model is a name that callers may ask for.
type Model struct {
	Name   string          `json:"name" validate:"required,max=64"`
	Labels selector.Labels `json:"labels,omitempty"`
}

// Version is one version of a model.
type Version struct {
	Model  string          `json:"model" validate:"required"`
	Name   string          `json:"name" validate:"required,max=64"`
	Labels selector.Labels `json:"labels,omitempty"`
	State  State           `json:"state" validate:"oneof=rolling-in serving rolling-out withdrawn"`
	// Share is the part of the model's new work that a version rolling in
	// takes, from 0 to 1.
	Share float64 `json:"share,omitempty" validate:"min=0,max=1"`
	// InputPrice and OutputPrice are in millionths of the operators' unit of
	// money for each token.
	InputPrice  int64 `json:"input_price" validate:"min=0"`
	OutputPrice int64 `json:"output_price" validate:"min=0"`
	// Quality is what operators expect before ratings are known, from 0 to 1.
	Quality float64 `json:"quality,omitempty" validate:"min=0,max=1"`
}

// Server is a backend server.
type Server struct {
	Name       string          `json:"name" validate:"required,max=64"`
	DataCentre string          `json:"data_centre" validate:"required"`
	Labels     selector.Labels `json:"labels,omitempty"`
	// Versions are what the server holds, as model@version.
	Versions []string `json:"versions,omitempty"`
	// Services are the plain services that it answers.
	Services []string `json:"services,omitempty"`
	// Slots is how many requests run on it at once.
	Slots int `json:"slots" validate:"min=1,max=4096"`
	// Orders lets the system load and unload versions on the server, so that
	// it holds the list above.
	Orders bool `json:"orders,omitempty"`
	// Leaving is set by operators before they take the server away.
	Leaving bool `json:"leaving,omitempty"`
}

// Service is a plain service.
type Service struct {
	Name   string          `json:"name" validate:"required,max=64"`
	Labels selector.Labels `json:"labels,omitempty"`
	// NotRepeatable are the HTTP methods whose calls run at most once.
	NotRepeatable []string `json:"not_repeatable,omitempty" validate:"dive,oneof=GET POST PUT PATCH DELETE"`
	// DeadlineMS is how long a call may wait for its start.
	DeadlineMS int `json:"deadline_ms,omitempty" validate:"min=0"`
}

// Team is a customer.
type Team struct {
	Name   string          `json:"name" validate:"required,max=64"`
	Labels selector.Labels `json:"labels,omitempty"`
	// KeyDigests are the SHA-256 digests of its bearer keys, in hexadecimal.
	KeyDigests []string `json:"key_digests" validate:"dive,len=64,hexadecimal"`
	// Weight is its part of a full server against other teams; zero reads as 1.
	Weight int `json:"weight,omitempty" validate:"min=0,max=1000"`
}

// Grant opens versions and services to teams.
type Grant struct {
	Teams    selector.Selector  `json:"teams"`
	Versions *selector.Selector `json:"versions,omitempty"`
	Services *selector.Selector `json:"services,omitempty"`
}

// Kind says how requests of one kind are served.
type Kind struct {
	Name string `json:"name" validate:"required,max=64"`
	// Substitutes are the versions that may serve in place of the model asked
	// for; they also bound what "auto" may choose.
	Substitutes *selector.Selector `json:"substitutes,omitempty"`
	// Target is the mean rating that must be met, from 0 to 1.
	Target float64 `json:"target,omitempty" validate:"min=0,max=1"`
	// Cascade allows a cheaper version to be tried first.
	Cascade bool `json:"cascade,omitempty"`
	// Priority orders the queue of a backend server; higher goes first.
	Priority int `json:"priority,omitempty" validate:"min=0,max=9"`
	// DeadlineMS is how long a request may wait for its start.
	DeadlineMS int `json:"deadline_ms,omitempty" validate:"min=0"`
	// NotRepeatable makes requests of this kind run at most once.
	NotRepeatable bool `json:"not_repeatable,omitempty"`
}

// Rollout is the plan by which one version takes over from the others of its
// model without an operator.
type Rollout struct {
	Model string `json:"model" validate:"required"`
	To    string `json:"to" validate:"required"`
	// Steps are the growing shares of new work.
	Steps []float64 `json:"steps" validate:"min=1,dive,gt=0,max=1"`
	// HoldSeconds is the least time at each step.
	HoldSeconds int `json:"hold_seconds" validate:"min=1"`
	// MaxFailureRate is the failure rate at which the version counts as bad.
	MaxFailureRate float64 `json:"max_failure_rate" validate:"gt=0,lt=1"`
}

// Evacuated reports whether the servers of a data centre are to get nothing new.
func (do *Document) Evacuated(dataCentre string) bool {
	return slices.Contains(do.Evacuations, Evacuation{DataCentre: dataCentre})
}

// ID returns the version's full name, model@version.
func (ve *Version) ID() string { return ve.Model + "@" + ve.Name }

// DefaultDeadline bounds the wait for a start where nothing else is said.
const DefaultDeadline = 2 * time.Second
