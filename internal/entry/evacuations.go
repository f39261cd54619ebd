package entry

import (
	"net/http"
	"slices"

	"github.com/gorilla/mux"

	"github.com/linnetrudder/linnetrudder/internal/config"
	"github.com/linnetrudder/linnetrudder/internal/result"
)

// postEvacuation marks a data centre as evacuated. The rest of the document is preserved, including
// concurrent changes of other operators.
func (en *Entry) postEvacuation(w http.ResponseWriter, r *http.Request) {
	dataCentre := mux.Vars(r)["data_centre"]
	re := newChangeRequest(r, "evacuate "+dataCentre)
	re.Edit = func(doc *config.Document) (*config.Document, error) { return evacuate(doc, dataCentre) }
	en.apply(w, r, re)
}

// deleteEvacuation ends the evacuation of a data centre, in the same manner.
func (en *Entry) deleteEvacuation(w http.ResponseWriter, r *http.Request) {
	dataCentre := mux.Vars(r)["data_centre"]
	re := newChangeRequest(r, "restore "+dataCentre)
	re.Edit = func(doc *config.Document) (*config.Document, error) { return restore(doc, dataCentre) }
	en.apply(w, r, re)
}

// evacuate returns the document with a data centre marked as evacuated. It refuses a data centre
// without servers, since its name is most likely mistyped.
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

// restore returns the document without the evacuation of a data centre.
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
