package settings

import (
	"testing"

	"gypsumlead/fault"
)

// FuzzParse demands that whatever stands in a settings file is accepted or named as invalid.
func FuzzParse(f *testing.F) {
	for _, seed := range []string{
		whole,
		`{}`,
		`{"listen":[]}`,
		`{"peers":[{"addr":"127.0.0.1:4"},null]}`,
		`{"tokens":[{"name":"a","secret":"0123456789abcdef"},{"name":"a","secret":"0123456789abcdef"}]}`,
		`{"calls":{"body":1e30},"stop":{"wait":"-1s"}}`,
		`{"duties":{"life":"9999999999h"}}`,
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
