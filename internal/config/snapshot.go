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

// Snapshot is one revision of the configuration, indexed for decisions. It
// is never changed once compiled and may be read concurrently.
type Snapshot struct {
	// revision grows by one with each accepted change.
	revision uint64
	doc      *Document
	// versions holds every version by its full name.
	versions map[string]*Version
	// byModel holds the versions of a model in the order of the document.
	byModel  map[string][]*Version
	servers  map[string]*Server
	services map[string]*Service
	kinds    map[string]*Kind
	// substitutes holds, for each kind, the versions that may stand in.
	substitutes map[string][]*Version
	teams       map[string]*TeamView
	// byDigest finds a team by the digest of a key; the digest is compared
	// again in constant time.
	byDigest map[string]*TeamView
}

// TeamView is a team with the versions and services that are open to it.
type TeamView struct {
	team *Team
	// versions and services hold only what a grant opens.
	versions map[string]bool
	services map[string]bool
}

// Name returns the team's name.
func (te *TeamView) Name() string { return te.team.Name }

// Weight returns the team's part of a full server, at least 1.
func (te *TeamView) Weight() int { return max(1, te.team.Weight) }

// MayUse reports whether a grant opens the version to the team.
func (te *TeamView) MayUse(version string) bool { return te.versions[version] }

// MayCall reports whether a grant opens the plain service to the team.
func (te *TeamView) MayCall(service string) bool { return te.services[service] }

// Compile indexes a document that has passed Check.
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

// versionLabels returns each version's labels over its model's, with the
// names "model" and "version" added.
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

func withLabel(la selector.Labels, name, value string) selector.Labels {
	all := make(selector.Labels, len(la)+2)
	for na, va := range la {
		all[na] = va
	}
	all[name] = value
	return all
}

// Revision returns the number of the revision; zero means none yet.
func (sn *Snapshot) Revision() uint64 {
	if sn == nil {
		return 0
	}
	return sn.revision
}

// Document returns the document; it must not be changed.
func (sn *Snapshot) Document() *Document { return sn.doc }

// Digest returns a checksum of the document, the same in every process.
func (sn *Snapshot) Digest() uint64 {
	body, _ := json.Marshal(sn.doc)
	return xxhash.Sum64(body)
}

// KeyDigest returns the form in which a key is kept.
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
	for _, have := range te.team.KeyDigests {
		if subtle.ConstantTimeCompare([]byte(strings.ToLower(have)), []byte(digest)) == 1 {
			return te
		}
	}
	return nil
}

// Team returns a team by name, or nil.
func (sn *Snapshot) Team(name string) *TeamView { return sn.teams[name] }

// Version returns a version by its full name, or nil.
func (sn *Snapshot) Version(id string) *Version { return sn.versions[id] }

// VersionsOf returns the versions of a model; the list must not be changed.
func (sn *Snapshot) VersionsOf(model string) []*Version { return sn.byModel[model] }

// Server returns a backend server by name, or nil.
func (sn *Snapshot) Server(name string) *Server { return sn.servers[name] }

// Service returns a plain service by name, or nil.
func (sn *Snapshot) Service(name string) *Service { return sn.services[name] }

// defaultKind is how requests of a kind without an entry are served.
var defaultKind Kind

// Kind returns how requests of a kind are served; an unknown kind is plain.
func (sn *Snapshot) Kind(name string) *Kind {
	if ki := sn.kinds[name]; ki != nil {
		return ki
	}
	return &defaultKind
}

// Deadline returns how long a request of the kind may wait for its start.
func (ki *Kind) Deadline() time.Duration {
	return deadline(ki.DeadlineMS)
}

// Deadline returns how long a call of the service may wait for its start.
func (se *Service) Deadline() time.Duration {
	return deadline(se.DeadlineMS)
}

func deadline(ms int) time.Duration {
	if ms == 0 {
		return DefaultDeadline
	}
	return time.Duration(ms) * time.Millisecond
}

// MayStart says whether the version may start a request of the team now.
// inSession is true if the request belongs to a session of this version.
// result.OK means that it may.
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

// Substitutes returns the versions that the kind lets stand in for a model;
// the list must not be changed.
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
