package routing

import (
	"fmt"
	"sort"
	"strings"

	"github.com/linnetrudder/linnetrudder/internal/result"
)

// Table is a compiled configuration. It is immutable and safe for concurrent use.
type Table struct {
	doc Document
	// byHost holds the routes of each host, longest prefix first.
	byHost   map[string][]*Route
	byKey    map[string]*Team
	services map[string]*Service
}

// Compile validates a document and builds its table.
func Compile(doc Document) (*Table, error) {
	ta := &Table{
		doc:      doc,
		byHost:   map[string][]*Route{},
		byKey:    map[string]*Team{},
		services: map[string]*Service{},
	}
	for i := range doc.Services {
		ta.services[doc.Services[i].Name] = &ta.doc.Services[i]
	}
	for i := range doc.Routes {
		ro := &ta.doc.Routes[i]
		if err := ta.validateRoute(ro); err != nil {
			return nil, err
		}
		ta.byHost[ro.Host] = append(ta.byHost[ro.Host], ro)
	}
	for _, list := range ta.byHost {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].Prefix) > len(list[j].Prefix) })
	}
	for i := range doc.Teams {
		for _, key := range doc.Teams[i].Keys {
			ta.byKey[key] = &ta.doc.Teams[i]
		}
	}
	return ta, nil
}

func (ta *Table) validateRoute(ro *Route) error {
	switch {
	case !strings.HasPrefix(ro.Prefix, "/") || !strings.HasSuffix(ro.Prefix, "/"):
		return result.New(result.BadConfiguration, fmt.Sprintf("route %s: prefix %q must start and end with a slash", ro.Name, ro.Prefix))
	case ro.Kind != Safe && ro.Kind != Unsafe && ro.Kind != Streaming:
		return result.New(result.BadConfiguration, fmt.Sprintf("route %s: unknown kind %q", ro.Name, ro.Kind))
	case len(ro.Split) == 0:
		return result.New(result.BadConfiguration, fmt.Sprintf("route %s: split has no services", ro.Name))
	}
	for _, sh := range ro.Split {
		if sh.Weight <= 0 {
			return result.New(result.BadConfiguration, fmt.Sprintf("route %s: weight %d of service %s must be positive", ro.Name, sh.Weight, sh.Service))
		}
	}
	return nil
}

// Version returns the version of the configuration, zero for a nil table.
func (ta *Table) Version() uint64 {
	if ta == nil {
		return 0
	}
	return ta.doc.Version
}

// Limits returns the limits for callers.
func (ta *Table) Limits() Limits { return ta.doc.Limits }

// RequiresKeys reports whether routes that are not public require an API key, which is the case if
// any teams are configured.
func (ta *Table) RequiresKeys() bool { return len(ta.doc.Teams) > 0 }

// Route returns the route of the host with the longest matching prefix, or nil.
func (ta *Table) Route(host, path string) *Route {
	for _, ro := range ta.byHost[host] {
		if strings.HasPrefix(path, ro.Prefix) {
			return ro
		}
	}
	return nil
}

// TeamByKey returns the team with this API key, or nil.
func (ta *Table) TeamByKey(key string) *Team { return ta.byKey[key] }

// Service returns a service by name, or nil.
func (ta *Table) Service(name string) *Service { return ta.services[name] }

// PickService selects the service for a request of the route. draw is uniform over [0, 1).
func (ro *Route) PickService(draw float64) string {
	total := 0
	for _, sh := range ro.Split {
		total += sh.Weight
	}
	left := draw * float64(total)
	for _, sh := range ro.Split {
		left -= float64(sh.Weight)
		if left < 0 {
			return sh.Service
		}
	}
	return ro.Split[len(ro.Split)-1].Service
}
