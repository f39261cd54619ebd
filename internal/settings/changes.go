package settings

import (
	"reflect"
	"strings"
)

// ChangedFields returns the names of the fields that differ between two structs of one type, as in a settings
// file whose decoder uses the given struct tag. Names of nested fields are separated by dots.
func ChangedFields(from, to any, tag string) []string {
	return changedFields("", reflect.ValueOf(from), reflect.ValueOf(to), tag)
}

func changedFields(prefix string, from, to reflect.Value, tag string) []string {
	var names []string
	for i := range from.NumField() {
		fi := from.Type().Field(i)
		name, _, _ := strings.Cut(fi.Tag.Get(tag), ",")
		name = prefix + name
		switch {
		case fi.Type.Kind() == reflect.Struct:
			names = append(names, changedFields(name+".", from.Field(i), to.Field(i), tag)...)
		case !reflect.DeepEqual(from.Field(i).Interface(), to.Field(i).Interface()):
			names = append(names, name)
		}
	}
	return names
}
