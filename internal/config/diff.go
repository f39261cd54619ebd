package config

import (
	"cmp"
	"slices"
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
	// Body is the object as it is after the change, in JSON.
	Body string `json:"body,omitempty"`
}

// Diff lists the objects in which two documents differ, by path.
func Diff(from, to *Document) []Difference {
	old := bodiesByPath(from)
	var list []Difference
	for _, ob := range to.objects() {
		have, ok := old[ob.path]
		switch {
		case !ok:
			list = append(list, Difference{Added, ob.path, ob.body})
		case have != ob.body:
			list = append(list, Difference{Changed, ob.path, ob.body})
		}
		delete(old, ob.path)
	}
	for path := range old {
		list = append(list, Difference{Removed, path, ""})
	}
	slices.SortStableFunc(list, func(a, b Difference) int { return cmp.Compare(a.Path, b.Path) })
	return list
}

func bodiesByPath(doc *Document) map[string]string {
	all := map[string]string{}
	for _, ob := range doc.objects() {
		all[ob.path] = ob.body
	}
	return all
}

// Patch applies differences to a document and returns a new one. Added
// objects go to the end of their lists; where that is not their place, the
// digests of the two sides differ and the whole document is sent instead.
func Patch(doc *Document, diff []Difference) (*Document, error) {
	change := make(map[string]Difference, len(diff))
	for _, di := range diff {
		change[di.Path] = di
	}
	var all []object
	for _, ob := range doc.objects() {
		di, ok := change[ob.path]
		switch {
		case !ok:
			all = append(all, ob)
		case di.Op == Changed:
			all = append(all, object{ob.path, di.Body})
		}
	}
	for _, di := range diff {
		if di.Op == Added {
			all = append(all, object{di.Path, di.Body})
		}
	}
	return documentOf(all)
}
