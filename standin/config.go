package standin

import "encoding/json"

// WorkspaceConfig returns the row of an operator's configuration with one workspace, named a, that has the keys.
func WorkspaceConfig(version int, keys ...string) string {
	return encodeConfig(version, []any{map[string]any{"Name": "a", "ApiKeys": keys}})
}

// MalformedWorkspaceConfig returns the row of a configuration with a key where the list of workspaces belongs.
func MalformedWorkspaceConfig(version int, key string) string { return encodeConfig(version, key) }

func encodeConfig(version int, workspaces any) string {
	row, err := json.Marshal(map[string]any{"Version": version, "Tenants": workspaces})
	if err != nil {
		panic(err) // these values always encode
	}
	return string(row)
}
