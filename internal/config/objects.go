package config

import (
	"bytes"
	"encoding/json"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
)

// object is one element of a document's lists, in the form in which documents are compared and
// sent.
type object struct {
	// path is the list and the element's name, such as versions/menu@v2.
	path string
	// body is the element in JSON; equal elements have equal bodies.
	body string
}

// objects returns the elements of all lists in the order of the document.
func (do *Document) objects() []object {
	if do == nil {
		return nil
	}
	var all []object
	put := func(list, name string, value any) {
		body, _ := json.Marshal(value)
		all = append(all, object{list + "/" + name, string(body)})
	}
	for i := range do.Models {
		put("models", do.Models[i].Name, &do.Models[i])
	}
	for i := range do.Versions {
		put("versions", do.Versions[i].ID(), &do.Versions[i])
	}
	for i := range do.Servers {
		put("servers", do.Servers[i].Name, &do.Servers[i])
	}
	for i := range do.Services {
		put("services", do.Services[i].Name, &do.Services[i])
	}
	for i := range do.Teams {
		put("teams", do.Teams[i].Name, &do.Teams[i])
	}
	for i := range do.Grants {
		put("grants", strconv.Itoa(i), &do.Grants[i])
	}
	for i := range do.Kinds {
		put("kinds", do.Kinds[i].Name, &do.Kinds[i])
	}
	for i := range do.Rollouts {
		put("rollouts", do.Rollouts[i].Model+"@"+do.Rollouts[i].To, &do.Rollouts[i])
	}
	for i := range do.Evacuations {
		put("evacuations", do.Evacuations[i].DataCentre, &do.Evacuations[i])
	}
	return all
}

// documentOf returns the document with the given objects.
func documentOf(all []object) (*Document, error) {
	var order []string
	lists := map[string]*bytes.Buffer{}
	for _, ob := range all {
		list, _, _ := strings.Cut(ob.path, "/")
		buf := lists[list]
		if buf == nil {
			buf = &bytes.Buffer{}
			lists[list] = buf
			order = append(order, list)
		} else {
			buf.WriteByte(',')
		}
		buf.WriteString(ob.body)
	}
	var data bytes.Buffer
	data.WriteByte('{')
	for i, list := range order {
		if i > 0 {
			data.WriteByte(',')
		}
		data.WriteString(strconv.Quote(list) + ":[")
		data.Write(lists[list].Bytes())
		data.WriteByte(']')
	}
	data.WriteByte('}')
	var doc Document
	if err := json.Unmarshal(data.Bytes(), &doc); err != nil {
		return nil, eris.Wrap(err, "assemble configuration")
	}
	return &doc, nil
}
