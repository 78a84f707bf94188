package settings

import (
	"bytes"
	"encoding/json"
	"errors"
	"net/netip"
	"os"
	"reflect"
	"sort"
	"strings"
	"time"

	"github.com/go-playground/validator/v10"
	"github.com/go-viper/mapstructure/v2"

	"gypsumlead/fault"
)

// Load reads and checks the settings file at path. Errors are of kind fault.Invalid, with one line for each problem.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, fault.Wrap(fault.Invalid, err, "read settings")
	}
	return Parse(data)
}

// Parse decodes JSON settings over the defaults and checks them. Errors are of kind fault.Invalid, with one line for
// each problem.
func Parse(data []byte) (Settings, error) {
	s := Defaults()
	problems, err := decode(data, &s)
	if err != nil {
		return Settings{}, err
	}
	problems = append(problems, check(s)...)
	problems = append(problems, checkCombined(s)...)
	if len(problems) > 0 {
		sort.Strings(problems)
		return Settings{}, fault.New(fault.Invalid, "%s", strings.Join(problems, "\n"))
	}
	return s, nil
}

// decode decodes data into s and returns a line for each unknown key and each value of the wrong type.
func decode(data []byte, s any) ([]string, error) {
	tree := map[string]any{}
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.UseNumber() // keeps 64-bit sizes exact and lets rejectNumber see which values are numbers
	if err := dec.Decode(&tree); err != nil {
		return nil, fault.Wrap(fault.Invalid, err, "settings are no JSON object")
	}
	if dec.More() {
		return nil, fault.New(fault.Invalid, "settings: something stands behind the JSON object")
	}
	var meta mapstructure.Metadata
	d, err := mapstructure.NewDecoder(&mapstructure.DecoderConfig{
		TagName:   "json",
		Result:    s,
		Metadata:  &meta,
		MatchName: func(key, field string) bool { return key == field },
		DecodeHook: mapstructure.ComposeDecodeHookFunc(
			rejectNumber,
			mapstructure.StringToTimeDurationHookFunc(),
			mapstructure.StringToNetIPAddrPortHookFunc(),
		),
	})
	if err != nil {
		return nil, fault.Wrap(fault.Internal, err, "make the settings decoder")
	}
	var problems []string
	if err := d.Decode(tree); err != nil {
		problems = append(problems, flattenErrors(err)...)
	}
	for _, key := range meta.Unused {
		problems = append(problems, key+": unknown key")
	}
	return problems, nil
}

// rejectNumber is a decode hook that rejects numbers for strings, addresses and durations. Without it, a duration could
// be given in nanoseconds by mistake.
func rejectNumber(from, to reflect.Type, v any) (any, error) {
	if from != reflect.TypeFor[json.Number]() {
		return v, nil
	}
	switch to {
	case reflect.TypeFor[time.Duration]():
		return nil, errors.New(`a duration is a text with a unit, such as "500ms" or "2s"`)
	case reflect.TypeFor[string](), reflect.TypeFor[netip.AddrPort]():
		return nil, errors.New("must be a text, not a number")
	}
	return v, nil
}

// flattenErrors returns a line for each error joined in err.
func flattenErrors(err error) []string {
	if joined, ok := err.(interface{ Unwrap() []error }); ok {
		var all []string
		for _, e := range joined.Unwrap() {
			all = append(all, flattenErrors(e)...)
		}
		return all
	}
	if inner := errors.Unwrap(err); inner != nil {
		if _, ok := inner.(interface{ Unwrap() []error }); ok {
			return flattenErrors(inner)
		}
	}
	return []string{strings.ReplaceAll(err.Error(), "\n", " ")}
}

// check returns a line for each value that violates its validate tag.
func check(s any) []string {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string {
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		return name
	})
	var violations validator.ValidationErrors
	if !errors.As(v.Struct(s), &violations) {
		return nil
	}
	var problems []string
	for _, violation := range violations {
		_, path, _ := strings.Cut(violation.Namespace(), ".") // drops the name of the struct
		problems = append(problems, path+": "+describeRule(violation))
	}
	return problems
}

// describeRule returns what the violated rule requires.
func describeRule(violation validator.FieldError) string {
	switch violation.Tag() {
	case "required", "required_with":
		return "missing"
	case "min":
		return "must be " + violation.Param() + " at least"
	case "max":
		return "must be " + violation.Param() + " at most"
	case "oneof":
		return "must be one of " + violation.Param()
	case "unique":
		return "stands twice"
	}
	return "breaks the rule " + violation.Tag() + " " + violation.Param()
}

// checkCombined returns a line for each value that is valid alone but conflicts with another.
func checkCombined(s Settings) []string {
	var problems []string
	seen := map[netip.AddrPort]string{}
	for _, listener := range []struct {
		name string
		addr netip.AddrPort
	}{
		{"listen.callers", s.Listen.Callers}, {"listen.ready", s.Listen.Ready}, {"listen.peers", s.Listen.Peers},
	} {
		if !listener.addr.IsValid() || listener.addr.Port() == 0 {
			continue
		}
		if other, ok := seen[listener.addr]; ok {
			problems = append(problems, listener.name+": the same address as "+other)
			continue
		}
		seen[listener.addr] = listener.name
	}
	return problems
}
