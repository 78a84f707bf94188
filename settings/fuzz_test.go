package settings

import (
	"testing"

	"gypsumlead/fault"
)

// FuzzParse checks that any settings file is either accepted or rejected with an error of kind fault.Invalid.
func FuzzParse(f *testing.F) {
	for _, seed := range []string{
		validSettings,
		`{}`,
		`{"listen":[]}`,
		`{"listen":{"callers":null}}`,
		`{"weight":1e400}`,
		`{"memory":1e30,"bounds":{"hold":"-1s"}}`,
		`{"bounds":{"lease":"9999999999h","percent":-1}}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		_, err := Parse(data)
		if err != nil && !fault.Is(err, fault.Invalid) {
			t.Fatalf("%q: %v", data, err)
		}
	})
}
