// Package config defines the operators' configuration: models, versions, backend servers, services
// and teams with labels, and the rules that select them by label. It decodes, checks, compares and
// patches documents, and compiles a document into a Snapshot with the indexes that request handling
// uses.
package config

import (
	"slices"
	"time"

	"github.com/linnetrudder/linnetrudder/internal/selector"
)

// State is the lifecycle state of a version.
type State string

// The states of a version.
const (
	// RollingIn versions get their Share of the model's new work.
	RollingIn State = "rolling-in"
	// Serving versions get the rest of the new work.
	Serving State = "serving"
	// RollingOut versions get only requests of sessions that started on them.
	RollingOut State = "rolling-out"
	// Withdrawn versions start nothing new, not even requests of their sessions.
	Withdrawn State = "withdrawn"
)

// MaxBytes is the maximum size of an encoded document, so that it fits into one value of the
// key-value service with room for its envelope.
const MaxBytes = 900 << 10

// Document is the configuration as operators write it and as it is stored. Its fields are exported
// for the codecs; other packages read a Snapshot.
type Document struct {
	// Models are the models that callers may ask for.
	Models []Model `json:"models" validate:"dive"`
	// Versions are the versions of the models.
	Versions []Version `json:"versions" validate:"dive"`
	// Servers are the backend servers, each behind its own agent.
	Servers []Server `json:"servers" validate:"dive"`
	// Services are plain HTTP services, each under its own path prefix.
	Services []Service `json:"services,omitempty" validate:"dive"`
	// Teams are the customers that share the platform.
	Teams []Team `json:"teams" validate:"dive"`
	// Grants allow teams to use versions and services.
	Grants []Grant `json:"grants" validate:"dive"`
	// Kinds are the rules for requests by their kind.
	Kinds []Kind `json:"kinds,omitempty" validate:"dive"`
	// Rollouts are the plans for shifting new work to a version in steps.
	Rollouts []Rollout `json:"rollouts,omitempty" validate:"dive"`
	// Evacuations are the data centres whose servers get no new work.
	Evacuations []Evacuation `json:"evacuations,omitempty" validate:"dive"`
}

// Evacuation drains a data centre: its servers finish the requests in progress and get no new ones
// until the evacuation is removed.
type Evacuation struct {
	DataCentre string `json:"data_centre" validate:"required"`
}

// Model is a model that callers may ask for by name.
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
	// Share is the fraction, from 0 to 1, of the model's new work that a version in state RollingIn
	// gets.
	Share float64 `json:"share,omitempty" validate:"min=0,max=1"`
	// InputPrice and OutputPrice are prices per token, in millionths of the operators' unit of money.
	InputPrice  int64 `json:"input_price" validate:"min=0"`
	OutputPrice int64 `json:"output_price" validate:"min=0"`
	// Quality is the operators' estimate, from 0 to 1, that is used until ratings are known.
	Quality float64 `json:"quality,omitempty" validate:"min=0,max=1"`
}

// Server is a backend server.
type Server struct {
	Name       string          `json:"name" validate:"required,max=64"`
	DataCentre string          `json:"data_centre" validate:"required"`
	Labels     selector.Labels `json:"labels,omitempty"`
	// Versions are the versions loaded on the server, as model@version.
	Versions []string `json:"versions,omitempty"`
	// Services are the plain services that the server offers.
	Services []string `json:"services,omitempty"`
	// Slots is the number of requests that run on the server at once.
	Slots int `json:"slots" validate:"min=1,max=4096"`
	// Orders lets the system load and unload versions on the server, so that the loaded versions are
	// those in Versions.
	Orders bool `json:"orders,omitempty"`
	// Leaving is set by operators before they remove the server.
	Leaving bool `json:"leaving,omitempty"`
}

// Service is a plain HTTP service.
type Service struct {
	Name   string          `json:"name" validate:"required,max=64"`
	Labels selector.Labels `json:"labels,omitempty"`
	// NotRepeatable are the HTTP methods whose calls run at most once.
	NotRepeatable []string `json:"not_repeatable,omitempty" validate:"dive,oneof=GET POST PUT PATCH DELETE"`
	// DeadlineMS is the maximum wait for the start of a call, in milliseconds; zero means
	// DefaultDeadline.
	DeadlineMS int `json:"deadline_ms,omitempty" validate:"min=0"`
}

// Team is a customer.
type Team struct {
	Name   string          `json:"name" validate:"required,max=64"`
	Labels selector.Labels `json:"labels,omitempty"`
	// KeyDigests are the SHA-256 digests of the team's bearer keys, in hexadecimal.
	KeyDigests []string `json:"key_digests" validate:"dive,len=64,hexadecimal"`
	// Weight is the team's weight relative to other teams when they share a full server; zero means
	// 1.
	Weight int `json:"weight,omitempty" validate:"min=0,max=1000"`
}

// Grant allows the selected teams to use the selected versions and services.
type Grant struct {
	Teams    selector.Selector  `json:"teams"`
	Versions *selector.Selector `json:"versions,omitempty"`
	Services *selector.Selector `json:"services,omitempty"`
}

// Kind is the rule for requests of one kind.
type Kind struct {
	Name string `json:"name" validate:"required,max=64"`
	// Substitutes selects the versions that may serve in place of the requested model. It also limits
	// the versions among which "auto" chooses.
	Substitutes *selector.Selector `json:"substitutes,omitempty"`
	// Target is the required mean rating, from 0 to 1.
	Target float64 `json:"target,omitempty" validate:"min=0,max=1"`
	// Cascade allows a cheaper version to be tried first.
	Cascade bool `json:"cascade,omitempty"`
	// Priority is the priority in the queue of a backend server; higher values go first.
	Priority int `json:"priority,omitempty" validate:"min=0,max=9"`
	// DeadlineMS is the maximum wait for the start of a request, in milliseconds; zero means
	// DefaultDeadline.
	DeadlineMS int `json:"deadline_ms,omitempty" validate:"min=0"`
	// NotRepeatable makes requests of this kind run at most once.
	NotRepeatable bool `json:"not_repeatable,omitempty"`
}

// Rollout is the plan by which new work shifts to a version from the other versions of its model
// without an operator.
type Rollout struct {
	Model string `json:"model" validate:"required"`
	To    string `json:"to" validate:"required"`
	// Steps are the increasing shares of new work.
	Steps []float64 `json:"steps" validate:"min=1,dive,gt=0,max=1"`
	// HoldSeconds is the minimum time at each step, in seconds.
	HoldSeconds int `json:"hold_seconds" validate:"min=1"`
	// MaxFailureRate is the failure rate from which the version is considered bad.
	MaxFailureRate float64 `json:"max_failure_rate" validate:"gt=0,lt=1"`
}

// Evacuated reports whether the servers of a data centre get no new work.
func (do *Document) Evacuated(dataCentre string) bool {
	return slices.Contains(do.Evacuations, Evacuation{DataCentre: dataCentre})
}

// ID returns the version's id, model@version.
func (ve *Version) ID() string { return ve.Model + "@" + ve.Name }

// DefaultDeadline is the maximum wait for the start of a request or call if the configuration sets
// none.
const DefaultDeadline = 2 * time.Second
