package cli

import (
	"bytes"
	"context"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestSettingsPagesAreFresh(t *testing.T) {
	for _, p := range []struct {
		file string
		args []string
	}{
		{"../docs/SETTINGS.md", []string{"settings"}},
		{"../docs/settings.schema.json", []string{"settings", "-schema"}},
	} {
		var out, errs bytes.Buffer
		require.Zero(t, Run(context.Background(), p.args, &out, &errs), errs.String())
		page, err := os.ReadFile(p.file)
		require.NoError(t, err)
		require.Equal(t, string(page), out.String(), "go run ./cmd/gypsumlead %s > %s", strings.Join(p.args, " "), p.file)
	}
}

func TestExampleIsFine(t *testing.T) {
	var out, errs bytes.Buffer
	require.Zero(t, Run(context.Background(), []string{"check", "-settings", "../examples/entry-1.json"}, &out, &errs), errs.String())
	require.Contains(t, out.String(), "front-c1-1")
}

func TestExitCodes(t *testing.T) {
	for _, tc := range []struct {
		name string
		args []string
		code int
		want string
	}{
		{"help", nil, exitOK, "Exit codes"},
		{"no such command", []string{"dance"}, exitUsage, `no command "dance"`},
		{"help of a verb", []string{"explain", "-h"}, exitOK, "Example:"},
		{"missing argument", []string{"job"}, exitUsage, "0 arguments given, 1 wanted"},
		{"no such flag", []string{"status", "-loud"}, exitUsage, "not defined: -loud"},
		{"no daemon", []string{"status", "-at", "127.0.0.1:1"}, exitRetry, "-at names another"},
		{"no daemon to explain", []string{"explain", "x", "-at", "127.0.0.1:1"}, exitRetry, "-at names another"},
		{"no settings", []string{"check", "-settings", "/none"}, exitFailed, "read settings"},
		{"no settings named", []string{"serve"}, exitUsage, "-settings is missing"},
		{"no such load", []string{"trial", "-load", "luck"}, exitFailed, `no load "luck"`},
		{"no such way", []string{"trial", "-way", "luck"}, exitFailed, `no way "luck"`},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var out bytes.Buffer
			require.Equal(t, tc.code, Run(context.Background(), tc.args, &out, &out), out.String())
			require.Contains(t, out.String(), tc.want)
		})
	}
}
