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

// Load reads and checks the settings file at path; its error has a line for every fault found.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, fault.Wrap(fault.Invalid, err, "read settings")
	}
	return Parse(data)
}

// Parse reads and checks settings in JSON over the defaults; its error has a line for every fault found.
func Parse(data []byte) (Settings, error) {
	s := Defaults()
	faults, err := decode(data, &s)
	if err != nil {
		return Settings{}, err
	}
	faults = append(faults, check(s)...)
	faults = append(faults, checkTogether(s)...)
	if len(faults) > 0 {
		sort.Strings(faults)
		return Settings{}, fault.New(fault.Invalid, "%s", strings.Join(faults, "\n"))
	}
	return s, nil
}

// decode fills s and returns a line for each unknown key and each value of a wrong type.
func decode(data []byte, s any) ([]string, error) {
	tree := map[string]any{}
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.UseNumber() // keeps 64-bit sizes exact and tells numbers from texts
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
			refuseNumber,
			mapstructure.StringToTimeDurationHookFunc(),
			mapstructure.StringToNetIPAddrPortHookFunc(),
		),
	})
	if err != nil {
		return nil, fault.Wrap(fault.Internal, err, "make the settings decoder")
	}
	var faults []string
	if err := d.Decode(tree); err != nil {
		faults = append(faults, flatten(err)...)
	}
	for _, key := range meta.Unused {
		faults = append(faults, key+": unknown key")
	}
	return faults, nil
}

// refuseNumber keeps a number from being read as a name, an address or a count of nanoseconds.
func refuseNumber(from, to reflect.Type, v any) (any, error) {
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

// flatten returns a line for each error joined in err.
func flatten(err error) []string {
	if joined, ok := err.(interface{ Unwrap() []error }); ok {
		var all []string
		for _, e := range joined.Unwrap() {
			all = append(all, flatten(e)...)
		}
		return all
	}
	if inner := errors.Unwrap(err); inner != nil {
		if _, ok := inner.(interface{ Unwrap() []error }); ok {
			return flatten(inner)
		}
	}
	return []string{strings.ReplaceAll(err.Error(), "\n", " ")}
}

// check returns a line for each value out of its bounds.
func check(s any) []string {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string {
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		return name
	})
	var bad validator.ValidationErrors
	if !errors.As(v.Struct(s), &bad) {
		return nil
	}
	var faults []string
	for _, b := range bad {
		_, path, _ := strings.Cut(b.Namespace(), ".") // without the name of the struct
		faults = append(faults, path+": "+explain(b))
	}
	return faults
}

// explain says what the failed rule demands.
func explain(b validator.FieldError) string {
	switch b.Tag() {
	case "required", "required_with":
		return "missing"
	case "min":
		return "must be " + b.Param() + " at least"
	case "max":
		return "must be " + b.Param() + " at most"
	case "oneof":
		return "must be one of " + b.Param()
	case "unique":
		return "stands twice"
	}
	return "breaks the rule " + b.Tag() + " " + b.Param()
}

// checkTogether finds values that are fine alone but not together.
func checkTogether(s Settings) []string {
	var faults []string
	taken := map[netip.AddrPort]string{}
	for _, l := range []struct {
		name string
		addr netip.AddrPort
	}{
		{"listen.callers", s.Listen.Callers}, {"listen.ready", s.Listen.Ready}, {"listen.peers", s.Listen.Peers},
	} {
		if !l.addr.IsValid() || l.addr.Port() == 0 {
			continue
		}
		if other, ok := taken[l.addr]; ok {
			faults = append(faults, l.name+": the same address as "+other)
			continue
		}
		taken[l.addr] = l.name
	}
	return faults
}
