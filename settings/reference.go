package settings

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"reflect"
	"strings"
	"time"

	"gypsumlead/fault"
)

// Reference returns the settings' reference page in Markdown, generated from the struct and its defaults.
func Reference() string {
	return reference("# Settings\n\nMade by `gypsumlead settings`. `deploy/settings.json.tmpl` fills them in on the users' machines.", Defaults())
}

func reference(head string, defaults any) string {
	var b strings.Builder
	b.WriteString(head + " Durations are texts with a unit, such as \"500ms\".\n\n")
	b.WriteString("| key | type | default | rule | meaning |\n| --- | --- | --- | --- | --- |\n")
	for _, f := range listFields(reflect.ValueOf(defaults), "") {
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s | %s |\n", f.path, f.kind, f.value, f.rule, f.doc)
	}
	return b.String()
}

// field is one row of the reference table.
type field struct {
	path, kind, value, rule, doc string
}

// listFields returns the fields of the struct v, including those of nested structs and of list elements.
func listFields(v reflect.Value, prefix string) []field {
	var out []field
	t := v.Type()
	for i := range t.NumField() {
		f := t.Field(i)
		path := prefix + f.Tag.Get("json")
		rule := strings.ReplaceAll(f.Tag.Get("validate"), ",dive", "")
		switch {
		case f.Type.Kind() == reflect.Struct && f.Type != reflect.TypeFor[netip.AddrPort]():
			out = append(out, listFields(v.Field(i), path+".")...)
		case f.Type.Kind() == reflect.Slice:
			out = append(out, field{path, "list", "", rule, f.Tag.Get("doc")})
			out = append(out, listFields(reflect.New(f.Type.Elem()).Elem(), path+"[].")...)
		default:
			out = append(out, field{path, typeName(f.Type), valueText(v.Field(i)), rule, f.Tag.Get("doc")})
		}
	}
	return out
}

func typeName(t reflect.Type) string {
	switch t {
	case reflect.TypeFor[time.Duration]():
		return "duration"
	case reflect.TypeFor[netip.AddrPort]():
		return "address"
	case reflect.TypeFor[string]():
		return "text"
	case reflect.TypeFor[bool]():
		return "yes or no"
	}
	return "number"
}

func valueText(v reflect.Value) string {
	if v.IsZero() {
		return ""
	}
	return fmt.Sprintf("`%v`", v.Interface())
}

// schemaNode is one node of a JSON Schema.
type schemaNode struct {
	Schema      string                 `json:"$schema,omitempty"`
	Title       string                 `json:"title,omitempty"`
	Description string                 `json:"description,omitempty"`
	Type        string                 `json:"type"`
	Default     any                    `json:"default,omitempty"`
	Properties  map[string]*schemaNode `json:"properties,omitempty"`
	Required    []string               `json:"required,omitempty"`
	Items       *schemaNode            `json:"items,omitempty"`
	Additional  *bool                  `json:"additionalProperties,omitempty"`
}

// Schema returns the settings' JSON Schema, generated from the struct and its defaults.
func Schema() ([]byte, error) { return schema("gypsumlead settings", Defaults()) }

func schema(title string, defaults any) ([]byte, error) {
	root := objectNode(reflect.ValueOf(defaults))
	root.Schema = "https://json-schema.org/draft/2020-12/schema"
	root.Title = title
	data, err := json.MarshalIndent(root, "", "  ")
	return data, fault.Wrap(fault.Internal, err, "encode the settings' schema")
}

func objectNode(v reflect.Value) *schemaNode {
	closed := false
	n := &schemaNode{Type: "object", Properties: map[string]*schemaNode{}, Additional: &closed}
	t := v.Type()
	for i := range t.NumField() {
		f := t.Field(i)
		name := f.Tag.Get("json")
		child := nodeOf(v.Field(i))
		child.Description = f.Tag.Get("doc")
		n.Properties[name] = child
		if strings.HasPrefix(f.Tag.Get("validate"), "required") {
			n.Required = append(n.Required, name)
		}
	}
	return n
}

func nodeOf(v reflect.Value) *schemaNode {
	switch {
	case v.Type() == reflect.TypeFor[netip.AddrPort]():
		return &schemaNode{Type: "string"}
	case v.Type() == reflect.TypeFor[time.Duration]():
		return &schemaNode{Type: "string", Default: time.Duration(v.Int()).String()}
	case v.Kind() == reflect.Struct:
		return objectNode(v)
	case v.Kind() == reflect.Slice:
		return &schemaNode{Type: "array", Items: nodeOf(reflect.New(v.Type().Elem()).Elem())}
	case v.Kind() == reflect.String:
		return &schemaNode{Type: "string", Default: valueOrNil(v)}
	}
	switch v.Kind() {
	case reflect.Bool:
		return &schemaNode{Type: "boolean", Default: valueOrNil(v)}
	case reflect.Float64:
		return &schemaNode{Type: "number", Default: valueOrNil(v)}
	}
	return &schemaNode{Type: "integer", Default: valueOrNil(v)}
}

// valueOrNil returns nil for a zero value, so that the schema has no default for it.
func valueOrNil(v reflect.Value) any {
	if v.IsZero() {
		return nil
	}
	return v.Interface()
}
