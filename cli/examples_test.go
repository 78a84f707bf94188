package cli

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"gypsumlead/record"
	"gypsumlead/settings"
)

func TestExamplesOfBothUsersAreAccepted(t *testing.T) {
	for _, user := range []struct {
		name    string
		entries int
		centres int
	}{{"peachtree", 7, 4}, {"tarjeta", 7, 3}} {
		files, err := filepath.Glob(filepath.Join("..", "examples", user.name, "entry-*.json"))
		require.NoError(t, err)
		require.Len(t, files, user.entries)
		centres := map[string]bool{}
		for _, f := range files {
			var out, errs bytes.Buffer
			require.Zero(t, Run(context.Background(), []string{"check", "-settings", f}, &out, &errs), errs.String())
			set, err := settings.Load(f)
			require.NoError(t, err)
			centres[set.Centre] = true
		}
		require.Len(t, centres, user.centres)
	}
}

func TestExampleRecordsAreAccepted(t *testing.T) {
	files, err := filepath.Glob(filepath.Join("..", "examples", "*", "records", "*.json"))
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, f := range files {
		d, err := readDraft(f)
		require.NoError(t, err, f)
		kind, name, _ := strings.Cut(strings.TrimSuffix(filepath.Base(f), ".json"), "-")
		_, _, err = record.Accept(record.Envelope{}, record.Envelope{Kind: record.Kind(kind), Name: name, Schema: d.Schema, Body: []byte(d.Body)})
		require.NoError(t, err, f)
	}
}

func TestSettingsPagesAreFresh(t *testing.T) {
	for _, p := range []struct {
		file string
		args []string
	}{
		{"../docs/SETTINGS.md", []string{"settings"}},
		{"../docs/settings.schema.json", []string{"settings", "-schema"}},
		{"../docs/SETTINGS-FLEET.md", []string{"settings", "-fleet"}},
		{"../docs/settings-fleet.schema.json", []string{"settings", "-fleet", "-schema"}},
	} {
		var out, errs bytes.Buffer
		require.Zero(t, Run(context.Background(), p.args, &out, &errs), errs.String())
		page, err := os.ReadFile(p.file)
		require.NoError(t, err)
		require.Equal(t, string(page), out.String(), "go run ./cmd/gypsumlead %s > %s", strings.Join(p.args, " "), p.file)
	}
}

func TestFleetExampleIsFine(t *testing.T) {
	var out, errs bytes.Buffer
	require.Zero(t, Run(context.Background(), []string{"check", "-fleet", "-settings", "../examples/fleet/entry-1.json"}, &out, &errs), errs.String())
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
		{"help of a verb", []string{"move", "-h"}, exitOK, "Example:"},
		{"missing argument", []string{"get", "pool"}, exitUsage, "1 arguments given, 2 wanted"},
		{"no such kind", []string{"get", "colour", "red"}, exitUsage, `no kind of record "colour"`},
		{"no such flag", []string{"status", "-loud"}, exitUsage, "not defined: -loud"},
		{"no daemon", []string{"status", "-at", "127.0.0.1:1"}, exitRetry, "-at names another"},
		{"no settings", []string{"check", "-settings", "/none"}, exitFailed, "read settings"},
		{"no such trial", []string{"trial", "luck"}, exitFailed, `no trial "luck"`},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var out bytes.Buffer
			require.Equal(t, tc.code, Run(context.Background(), tc.args, &out, &out), out.String())
			require.Contains(t, out.String(), tc.want)
		})
	}
}
