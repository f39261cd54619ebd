package entry

import (
	"net/http"
	"slices"

	"github.com/gorilla/mux"

	"github.com/linnetrudder/linnetrudder/internal/config"
	"github.com/linnetrudder/linnetrudder/internal/result"
)

// postEvacuation empties a data centre, deleteEvacuation gives it back. Both leave the rest
// as it is, whatever other operators change at the same time.
func (en *Entry) postEvacuation(w http.ResponseWriter, r *http.Request) {
	dataCentre := mux.Vars(r)["data_centre"]
	re := newChangeRequest(r, "evacuate "+dataCentre)
	re.Edit = func(doc *config.Document) (*config.Document, error) { return evacuate(doc, dataCentre) }
	en.apply(w, r, re)
}

func (en *Entry) deleteEvacuation(w http.ResponseWriter, r *http.Request) {
	dataCentre := mux.Vars(r)["data_centre"]
	re := newChangeRequest(r, "restore "+dataCentre)
	re.Edit = func(doc *config.Document) (*config.Document, error) { return restore(doc, dataCentre) }
	en.apply(w, r, re)
}

// evacuate returns the document with a data centre emptied. One without servers is refused:
// its name is most likely mistyped.
func evacuate(doc *config.Document, dataCentre string) (*config.Document, error) {
	if doc == nil {
		return nil, result.New(result.NoConfiguration, "")
	}
	if !slices.ContainsFunc(doc.Servers, func(se config.Server) bool { return se.DataCentre == dataCentre }) {
		return nil, result.New(result.BadReference, "data centre: "+dataCentre)
	}
	if !doc.Evacuated(dataCentre) {
		doc.Evacuations = append(doc.Evacuations, config.Evacuation{DataCentre: dataCentre})
	}
	return doc, nil
}

// restore returns the document with a data centre given back.
func restore(doc *config.Document, dataCentre string) (*config.Document, error) {
	if doc == nil {
		return nil, result.New(result.NoConfiguration, "")
	}
	if !doc.Evacuated(dataCentre) {
		return nil, result.New(result.BadReference, "data centre: "+dataCentre+" is not evacuated")
	}
	doc.Evacuations = slices.DeleteFunc(doc.Evacuations, func(ev config.Evacuation) bool { return ev.DataCentre == dataCentre })
	return doc, nil
}
