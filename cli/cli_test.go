package cli

import (
	"bytes"
	"context"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestSettingsPagesAreUpToDate(t *testing.T) {
	for _, page := range []struct {
		file string
		args []string
	}{
		{"../docs/SETTINGS.md", []string{"settings"}},
		{"../docs/settings.schema.json", []string{"settings", "-schema"}},
	} {
		var out, errs bytes.Buffer
		require.Zero(t, Run(context.Background(), page.args, &out, &errs), errs.String())
		want, err := os.ReadFile(page.file)
		require.NoError(t, err)
		require.Equal(t, string(want), out.String(), "go run ./cmd/gypsumlead %s > %s", strings.Join(page.args, " "), page.file)
	}
}

func TestExampleSettingsAreValid(t *testing.T) {
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
		{"unknown command", []string{"dance"}, exitUsage, `unknown command "dance"`},
		{"help of a command", []string{"explain", "-h"}, exitOK, "Example:"},
		{"missing argument", []string{"job"}, exitUsage, "got 0 arguments, want 1"},
		{"unknown flag", []string{"status", "-loud"}, exitUsage, "not defined: -loud"},
		{"unreachable daemon", []string{"status", "-at", "127.0.0.1:1"}, exitRetry, "use -at for another"},
		{"unreachable daemon for explain", []string{"explain", "x", "-at", "127.0.0.1:1"}, exitRetry, "use -at for another"},
		{"missing settings file", []string{"check", "-settings", "/none"}, exitFailed, "read settings"},
		{"missing settings flag", []string{"serve"}, exitUsage, "-settings is required"},
		{"unknown load", []string{"trial", "-load", "luck"}, exitFailed, `no load "luck"`},
		{"unknown strategy", []string{"trial", "-way", "luck"}, exitFailed, `no way "luck"`},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var out bytes.Buffer
			require.Equal(t, tc.code, Run(context.Background(), tc.args, &out, &out), out.String())
			require.Contains(t, out.String(), tc.want)
		})
	}
}
