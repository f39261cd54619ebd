package config

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"reflect"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/linnetrudder/linnetrudder/internal/result"
	"github.com/linnetrudder/linnetrudder/internal/selector"
)

// Snapshot is one revision of the configuration with indexes for request handling. It is immutable
// and safe for concurrent use.
type Snapshot struct {
	// revision grows by one with each accepted change.
	revision uint64
	doc      *Document
	// versions holds every version by its id.
	versions map[string]*Version
	// byModel holds the versions of each model in the order of the document.
	byModel  map[string][]*Version
	servers  map[string]*Server
	services map[string]*Service
	kinds    map[string]*Kind
	// substitutes holds, by kind, the versions that may serve in place of the requested model.
	substitutes map[string][]*Version
	teams       map[string]*TeamView
	// byDigest holds the teams by the digests of their keys. TeamByKey compares the digest again in
	// constant time.
	byDigest map[string]*TeamView
}

// TeamView is a team with the versions and services that it may use.
type TeamView struct {
	team *Team
	// versions and services hold the ids and names that grants allow the team to use.
	versions map[string]bool
	services map[string]bool
}

// Name returns the team's name.
func (te *TeamView) Name() string { return te.team.Name }

// Weight returns the team's weight relative to other teams when they share a full server, at least 1.
func (te *TeamView) Weight() int { return max(1, te.team.Weight) }

// MayUse reports whether a grant allows the team to use the version.
func (te *TeamView) MayUse(version string) bool { return te.versions[version] }

// MayCall reports whether a grant allows the team to call the plain service.
func (te *TeamView) MayCall(service string) bool { return te.services[service] }

// Compile builds the snapshot of a document that has passed Check.
func Compile(revision uint64, doc *Document) *Snapshot {
	sn := &Snapshot{
		revision:    revision,
		doc:         doc,
		versions:    make(map[string]*Version, len(doc.Versions)),
		byModel:     make(map[string][]*Version, len(doc.Models)),
		servers:     make(map[string]*Server, len(doc.Servers)),
		services:    make(map[string]*Service, len(doc.Services)),
		kinds:       make(map[string]*Kind, len(doc.Kinds)),
		substitutes: make(map[string][]*Version, len(doc.Kinds)),
		teams:       make(map[string]*TeamView, len(doc.Teams)),
		byDigest:    make(map[string]*TeamView, len(doc.Teams)),
	}
	for i := range doc.Versions {
		ve := &doc.Versions[i]
		sn.versions[ve.ID()] = ve
		sn.byModel[ve.Model] = append(sn.byModel[ve.Model], ve)
	}
	for i := range doc.Servers {
		sn.servers[doc.Servers[i].Name] = &doc.Servers[i]
	}
	for i := range doc.Services {
		sn.services[doc.Services[i].Name] = &doc.Services[i]
	}
	sn.compileKinds()
	sn.compileTeams()
	return sn
}

func (sn *Snapshot) compileTeams() {
	versionLabels := sn.versionLabels()
	for i := range sn.doc.Teams {
		te := &TeamView{team: &sn.doc.Teams[i], versions: map[string]bool{}, services: map[string]bool{}}
		la := withLabel(te.team.Labels, "team", te.team.Name)
		for k := range sn.doc.Grants {
			gr := &sn.doc.Grants[k]
			if gr.Teams.Match(la) {
				sn.applyGrant(te, gr, versionLabels)
			}
		}
		sn.teams[te.team.Name] = te
		for _, digest := range te.team.KeyDigests {
			sn.byDigest[strings.ToLower(digest)] = te
		}
	}
}

// applyGrant adds the versions and services that a grant selects to a team.
func (sn *Snapshot) applyGrant(te *TeamView, gr *Grant, versionLabels map[string]selector.Labels) {
	if gr.Versions != nil {
		for id, la := range versionLabels {
			if gr.Versions.Match(la) {
				te.versions[id] = true
			}
		}
	}
	if gr.Services != nil {
		for na, se := range sn.services {
			if gr.Services.Match(withLabel(se.Labels, "service", na)) {
				te.services[na] = true
			}
		}
	}
}

// versionLabels returns the labels of each version: those of its model, overridden by its own, and
// the labels "model" and "version" with the two names.
func (sn *Snapshot) versionLabels() map[string]selector.Labels {
	models := make(map[string]selector.Labels, len(sn.doc.Models))
	for i := range sn.doc.Models {
		models[sn.doc.Models[i].Name] = sn.doc.Models[i].Labels
	}
	all := make(map[string]selector.Labels, len(sn.versions))
	for id, ve := range sn.versions {
		la := withLabel(models[ve.Model], "model", ve.Model)
		for na, va := range ve.Labels {
			la[na] = va
		}
		la["version"] = ve.Name
		all[id] = la
	}
	return all
}

// withLabel returns a copy of labels with one more label.
func withLabel(la selector.Labels, name, value string) selector.Labels {
	all := make(selector.Labels, len(la)+2)
	for na, va := range la {
		all[na] = va
	}
	all[name] = value
	return all
}

// Revision returns the revision number, zero if there is no snapshot.
func (sn *Snapshot) Revision() uint64 {
	if sn == nil {
		return 0
	}
	return sn.revision
}

// Document returns the document, which must not be modified.
func (sn *Snapshot) Document() *Document { return sn.doc }

// Digest returns a checksum of the document that is the same in every process.
func (sn *Snapshot) Digest() uint64 {
	body, _ := json.Marshal(sn.doc)
	return xxhash.Sum64(body)
}

// KeyDigest returns the SHA-256 digest of a bearer key in hexadecimal, as in Team.KeyDigests.
func KeyDigest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// TeamByKey returns the team that a bearer key belongs to, or nil.
func (sn *Snapshot) TeamByKey(key string) *TeamView {
	digest := KeyDigest(key)
	te := sn.byDigest[digest]
	if te == nil {
		return nil
	}
	for _, own := range te.team.KeyDigests {
		if subtle.ConstantTimeCompare([]byte(strings.ToLower(own)), []byte(digest)) == 1 {
			return te
		}
	}
	return nil
}

// Team returns a team by name, or nil.
func (sn *Snapshot) Team(name string) *TeamView { return sn.teams[name] }

// Version returns a version by its id, or nil.
func (sn *Snapshot) Version(id string) *Version { return sn.versions[id] }

// VersionsOf returns the versions of a model. The slice must not be modified.
func (sn *Snapshot) VersionsOf(model string) []*Version { return sn.byModel[model] }

// Server returns a backend server by name, or nil.
func (sn *Snapshot) Server(name string) *Server { return sn.servers[name] }

// Service returns a plain service by name, or nil.
func (sn *Snapshot) Service(name string) *Service { return sn.services[name] }

// defaultKind is the rule for requests of a kind that the document doesn't list.
var defaultKind Kind

// Kind returns the rule for requests of a kind; for an unlisted kind, the rule with no settings.
func (sn *Snapshot) Kind(name string) *Kind {
	if ki := sn.kinds[name]; ki != nil {
		return ki
	}
	return &defaultKind
}

// Deadline returns the maximum wait for the start of a request of the kind.
func (ki *Kind) Deadline() time.Duration {
	return deadline(ki.DeadlineMS)
}

// Deadline returns the maximum wait for the start of a call of the service.
func (se *Service) Deadline() time.Duration {
	return deadline(se.DeadlineMS)
}

func deadline(ms int) time.Duration {
	if ms == 0 {
		return DefaultDeadline
	}
	return time.Duration(ms) * time.Millisecond
}

// MayStart returns result.OK if the version may start a request of the team now, and otherwise the
// code of the reason. inSession is true if the request belongs to a session of this version.
func (sn *Snapshot) MayStart(team, version string, inSession bool) result.Code {
	te := sn.teams[team]
	ve := sn.versions[version]
	if te == nil || ve == nil || !te.MayUse(version) {
		return result.VersionNotAllowed
	}
	switch ve.State {
	case Withdrawn:
		return result.VersionWithdrawn
	case RollingOut:
		if !inSession {
			return result.VersionNoNewWork
		}
	}
	return result.OK
}

// Substitutes returns the versions that may serve requests of the kind in place of the requested
// model. The slice must not be modified.
func (sn *Snapshot) Substitutes(ki *Kind) []*Version {
	return sn.substitutes[ki.Name]
}

func (sn *Snapshot) compileKinds() {
	all := sn.versionLabels()
	for i := range sn.doc.Kinds {
		ki := &sn.doc.Kinds[i]
		sn.kinds[ki.Name] = ki
		if ki.Substitutes == nil {
			continue
		}
		for k := range sn.doc.Versions {
			ve := &sn.doc.Versions[k]
			if ki.Substitutes.Match(all[ve.ID()]) {
				sn.substitutes[ki.Name] = append(sn.substitutes[ki.Name], ve)
			}
		}
	}
}

func jsonFieldName(fi reflect.StructField) string {
	name, _, _ := strings.Cut(fi.Tag.Get("json"), ",")
	return name
}
