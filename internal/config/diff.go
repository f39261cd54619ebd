package config

import (
	"cmp"
	"encoding/json"
	"slices"
	"strconv"
)

// Op says how an object differs.
type Op string

// The ways to differ.
const (
	Added   Op = "added"
	Removed Op = "removed"
	Changed Op = "changed"
)

// Difference is one object that two documents do not share.
type Difference struct {
	Op Op `json:"op"`
	// Path is the list and name of the object, such as versions/menu@v2.
	Path string `json:"path"`
}

// Diff lists the objects in which two documents differ, by path.
func Diff(from, to *Document) []Difference {
	old, young := from.objects(), to.objects()
	var list []Difference
	for path, body := range young {
		have, ok := old[path]
		if !ok {
			list = append(list, Difference{Added, path})
		} else if have != body {
			list = append(list, Difference{Changed, path})
		}
	}
	for path := range old {
		if _, ok := young[path]; !ok {
			list = append(list, Difference{Removed, path})
		}
	}
	slices.SortFunc(list, func(a, b Difference) int { return cmp.Compare(a.Path, b.Path) })
	return list
}

// objects returns every object of the document, encoded, by path.
func (do *Document) objects() map[string]string {
	all := map[string]string{}
	if do == nil {
		return all
	}
	put := func(path string, value any) {
		body, _ := json.Marshal(value)
		all[path] = string(body)
	}
	for i := range do.Models {
		put("models/"+do.Models[i].Name, do.Models[i])
	}
	for i := range do.Versions {
		put("versions/"+do.Versions[i].ID(), do.Versions[i])
	}
	for i := range do.Servers {
		put("servers/"+do.Servers[i].Name, do.Servers[i])
	}
	for i := range do.Services {
		put("services/"+do.Services[i].Name, do.Services[i])
	}
	for i := range do.Teams {
		put("teams/"+do.Teams[i].Name, do.Teams[i])
	}
	for i := range do.Kinds {
		put("kinds/"+do.Kinds[i].Name, do.Kinds[i])
	}
	for i := range do.Rollouts {
		put("rollouts/"+do.Rollouts[i].Model+"@"+do.Rollouts[i].To, do.Rollouts[i])
	}
	for i := range do.Grants {
		put("grants/"+strconv.Itoa(i), do.Grants[i])
	}
	return all
}
