package config

import (
	"cmp"
	"slices"
)

// Op is the way in which an object differs between two documents.
type Op string

// The kinds of differences.
const (
	Added   Op = "added"
	Removed Op = "removed"
	Changed Op = "changed"
)

// Difference describes an object that differs between two documents.
type Difference struct {
	Op Op `json:"op"`
	// Path is the object's list and name, such as versions/menu@v2.
	Path string `json:"path"`
	// Body is the object after the change, in JSON.
	Body string `json:"body,omitempty"`
}

// Diff returns the objects that differ between two documents, in order of their paths.
func Diff(from, to *Document) []Difference {
	old := bodiesByPath(from)
	var list []Difference
	for _, ob := range to.objects() {
		oldBody, ok := old[ob.path]
		switch {
		case !ok:
			list = append(list, Difference{Added, ob.path, ob.body})
		case oldBody != ob.body:
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

// Patch applies differences to a document and returns a new one. Added objects go to the end of
// their lists. If that isn't their position, the digests of the sender and the receiver differ, and
// the full document is sent instead.
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
