package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"github.com/go-playground/validator/v10"
	"github.com/tailscale/hujson"

	"github.com/linnetrudder/linnetrudder/internal/result"
	"github.com/linnetrudder/linnetrudder/internal/selector"
)

var validate = NewValidator()

// NewValidator returns a validator that reports fields by their JSON names.
func NewValidator() *validator.Validate {
	va := validator.New(validator.WithRequiredStructEnabled())
	va.RegisterTagNameFunc(jsonFieldName)
	return va
}

// Decode decodes a document in JSON with comments and checks all of it. The error is a
// *result.Error that names the offending field.
func Decode(data []byte) (*Document, error) {
	if len(data) > MaxBytes {
		return nil, result.New(result.ConfigTooLarge, fmt.Sprintf("%d bytes", len(data)))
	}
	var doc Document
	if err := DecodeStrict(data, &doc, result.BadConfiguration); err != nil {
		return nil, err
	}
	if err := doc.Check(); err != nil {
		return nil, err
	}
	return &doc, nil
}

// DecodeStrict decodes JSON with comments into a value and rejects unknown fields. Malformed input
// gets the result code bad.
func DecodeStrict(data []byte, into any, bad result.Code) error {
	plain, err := hujson.Standardize(bytes.Clone(data))
	if err != nil {
		return result.New(bad, err.Error())
	}
	dec := json.NewDecoder(bytes.NewReader(plain))
	dec.DisallowUnknownFields()
	if err := dec.Decode(into); err != nil {
		if field, ok := strings.CutPrefix(err.Error(), "json: unknown field "); ok {
			return result.New(result.UnknownField, strings.Trim(field, `"`))
		}
		return result.New(bad, err.Error())
	}
	return nil
}

// FirstInvalid returns the first error of a validator as a *result.Error with the code bad, nil for
// nil.
func FirstInvalid(err error, bad result.Code) error {
	if err == nil {
		return nil
	}
	var ves validator.ValidationErrors
	if !errors.As(err, &ves) || len(ves) == 0 {
		return result.New(bad, err.Error())
	}
	fe := ves[0]
	_, path, _ := strings.Cut(fe.Namespace(), ".")
	return result.New(bad, fmt.Sprintf("%s: must meet %s %s", path, fe.Tag(), fe.Param()))
}

// Check validates every field and every reference between objects.
func (do *Document) Check() error {
	if err := FirstInvalid(validate.Struct(do), result.BadConfiguration); err != nil {
		return err
	}
	checks := []func() error{
		do.checkNames,
		do.checkVersions,
		do.checkServers,
		do.checkSelectors,
		do.checkRollouts,
	}
	for _, check := range checks {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

func (do *Document) checkNames() error {
	seen := map[string]bool{}
	add := func(list, name string) error {
		if seen[list+name] {
			return result.New(result.BadConfiguration, list+": "+name+" stands twice")
		}
		seen[list+name] = true
		return nil
	}
	var errs []error
	for i := range do.Models {
		errs = append(errs, add("models", do.Models[i].Name))
	}
	for i := range do.Versions {
		errs = append(errs, add("versions", do.Versions[i].ID()))
	}
	for i := range do.Evacuations {
		errs = append(errs, add("evacuations", do.Evacuations[i].DataCentre))
	}
	for i := range do.Servers {
		errs = append(errs, add("servers", do.Servers[i].Name))
	}
	for i := range do.Services {
		errs = append(errs, add("services", do.Services[i].Name))
	}
	for i := range do.Kinds {
		errs = append(errs, add("kinds", do.Kinds[i].Name))
	}
	for i := range do.Teams {
		errs = append(errs, add("teams", do.Teams[i].Name))
		for _, digest := range do.Teams[i].KeyDigests {
			errs = append(errs, add("teams.key_digests", strings.ToLower(digest)))
		}
	}
	return firstError(errs)
}

func (do *Document) checkVersions() error {
	models := map[string]bool{}
	for i := range do.Models {
		models[do.Models[i].Name] = true
	}
	for i := range do.Versions {
		if !models[do.Versions[i].Model] {
			return badReference("versions", i, "model", do.Versions[i].Model)
		}
	}
	return nil
}

func (do *Document) checkServers() error {
	versions := do.versionIDs()
	services := map[string]bool{}
	for i := range do.Services {
		services[do.Services[i].Name] = true
	}
	for i := range do.Servers {
		for _, id := range do.Servers[i].Versions {
			if !versions[id] {
				return badReference("servers", i, "versions", id)
			}
		}
		for _, na := range do.Servers[i].Services {
			if !services[na] {
				return badReference("servers", i, "services", na)
			}
		}
	}
	return nil
}

func (do *Document) checkSelectors() error {
	for i := range do.Grants {
		gr := &do.Grants[i]
		selectors := map[string]*selector.Selector{"teams": &gr.Teams, "versions": gr.Versions, "services": gr.Services}
		for na, se := range selectors {
			if err := checkSelector(fmt.Sprintf("grants[%d].%s", i, na), se); err != nil {
				return err
			}
		}
	}
	for i := range do.Kinds {
		if err := checkSelector(fmt.Sprintf("kinds[%d].substitutes", i), do.Kinds[i].Substitutes); err != nil {
			return err
		}
	}
	return nil
}

func (do *Document) checkRollouts() error {
	versions := do.versionIDs()
	for i := range do.Rollouts {
		ro := &do.Rollouts[i]
		if !versions[ro.Model+"@"+ro.To] {
			return badReference("rollouts", i, "to", ro.Model+"@"+ro.To)
		}
		for k := 1; k < len(ro.Steps); k++ {
			if ro.Steps[k] <= ro.Steps[k-1] {
				return result.New(result.BadConfiguration, fmt.Sprintf("rollouts[%d].steps[%d]: must grow", i, k))
			}
		}
	}
	return nil
}

func (do *Document) versionIDs() map[string]bool {
	ids := make(map[string]bool, len(do.Versions))
	for i := range do.Versions {
		ids[do.Versions[i].ID()] = true
	}
	return ids
}

func checkSelector(path string, se *selector.Selector) error {
	if se == nil {
		return nil
	}
	if pr := se.InvalidPath(); pr != "" {
		return result.New(result.BadConfiguration, path+"."+pr+": matches nothing")
	}
	return nil
}

func badReference(list string, i int, field, name string) error {
	return result.New(result.BadReference, fmt.Sprintf("%s[%d].%s: %q", list, i, field, name))
}

func firstError(errs []error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}
