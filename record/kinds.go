package record

import (
	"encoding/json"
	"reflect"
	"regexp"
	"strings"

	"gypsumlead/fault"
)

const nameLimit = 100 // bytes

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]*$`)

// checkName allows names that are safe in table keys, URLs and file names.
func checkName(name string) error {
	if len(name) > nameLimit || !namePattern.MatchString(name) {
		return fault.New(fault.Invalid,
			"name %q: use 1 to %d of a-z, 0-9, dot, dash and underscore, starting with a letter or digit", name, nameLimit)
	}
	return nil
}

// schemaFields returns a JSON object with a null for each field that r's type knows.
func schemaFields(r Record) []byte {
	t := reflect.Indirect(reflect.ValueOf(r)).Type()
	known := make(fields, t.NumField())
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		if name == "" {
			name = t.Field(i).Name
		}
		known[name] = json.RawMessage("null")
	}
	// A map of constant nulls always encodes.
	out, _ := json.Marshal(known)
	return out
}
