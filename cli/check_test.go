package cli

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against an invalid configuration that passes, a valid one that doesn't, and keys in what is printed. Fields are
// matched without regard to case, as by the daemons' decoder.
func TestCheckOfConfiguration(t *testing.T) {
	const rest = `"routes":[{"Name":"q","Host":"a","Prefix":"/p/","Service":"s"}],"services":[{"Name":"s"}]`
	files := t.TempDir()
	for name, text := range map[string]string{
		"good":     `{"Version":2,` + rest + `}`,
		"old":      `{"Version":1,` + rest + `,"limits":{"MaxBodyBytes":262144}}`,
		"noroutes": `{"Version":3}`,
		"unrouted": `{"Version":3,"routes":[{"Name":"q","Host":"a","Prefix":"/p/","Service":"x"}]}`,
		"broken":   `{"Version":3,"routes":[secret1`,
	} {
		require.NoError(t, os.WriteFile(filepath.Join(files, name), []byte(text), 0o600))
	}
	for _, tc := range []struct {
		name string
		args []string
		code int
		want string
	}{
		{"no findings", []string{"-config", "good"}, exitOK, "version 2; errors: 0, notes: 0"},
		{"only notes", []string{"-config", "old"}, exitOK, "note: limits: body"},
		{"error", []string{"-config", "unrouted"}, exitFailed, `service "x" isn't configured`},
		{"not decodable", []string{"-config", "broken", "-current", "good"}, exitFailed, "not valid JSON at byte"},
		{"current not decodable", []string{"-config", "good", "-current", "broken"}, exitFailed, "error: current configuration"},
		{"differences", []string{"-config", "noroutes", "-current", "good"}, exitOK, "Requests that will be refused:"},
		{"older version", []string{"-config", "old", "-current", "good"}, exitFailed, "version 1 isn't higher than the current version 2"},
		{"JSON with an error", []string{"-config", "old", "-current", "good", "-json"}, exitFailed, `"errors": 1`},
		{"JSON without current", []string{"-config", "good", "-json"}, exitOK, `"findings": []`},
		{"missing file", []string{"-config", "none"}, exitFailed, "read the configuration"},
		{"nothing to check", []string{"-current", "good"}, exitUsage, "-settings or -config is required"},
		{"two kinds of file", []string{"-settings", "good", "-config", "good"}, exitUsage, "can't be combined"},
		{"bad machine", []string{"-config", "good", "-machine", "64/1"}, exitUsage, "must have the form"},
		{"machine", []string{"-config", "good", "-machine", "0.5/262144/0"}, exitOK, "errors: 0"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Chdir(files)
			var out bytes.Buffer
			require.Equal(t, tc.code, Run(context.Background(), append([]string{"check"}, tc.args...), &out, &out), out.String())
			require.Contains(t, out.String(), tc.want)
			require.NotContains(t, out.String(), "secret")
		})
	}
}
