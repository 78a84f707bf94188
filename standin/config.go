package standin

import "encoding/json"

// WorkspaceConfig returns the row of an operator's configuration with one workspace, named a, that has the keys.
func WorkspaceConfig(version int, keys ...string) string {
	return encodeConfig(version, []any{map[string]any{"Name": "a", "ApiKeys": keys}})
}

// MalformedWorkspaceConfig returns the row of a configuration with a key where the list of workspaces belongs.
func MalformedWorkspaceConfig(version int, key string) string { return encodeConfig(version, key) }

// QueueConfig returns an operator's configuration with one queue of jobs below /jobs/ on a host, whose callers need a key and may
// send bodies of maxBody bytes.
func QueueConfig(host, key string, maxBody int) map[string]any {
	return map[string]any{
		"Version":  7,
		"Routes":   []any{map[string]any{"Name": "q", "Host": host, "Prefix": "/jobs/", "Kind": "non_idempotent", "TimeoutMs": 3000, "SloMs": 600, "Service": "desk", "MaxAttempts": 3, "SlackFactor": 1.6}},
		"Services": []any{map[string]any{"Name": "desk", "HealthPath": "/health", "MaxConns": 64, "Protocol": "h1"}},
		"Tenants":  []any{map[string]any{"Name": "a", "ApiKeys": []string{key}, "Weight": 50}},
		"Limits":   map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": maxBody, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	}
}

func encodeConfig(version int, workspaces any) string {
	row, err := json.Marshal(map[string]any{"Version": version, "Tenants": workspaces})
	if err != nil {
		panic(err) // these values always encode
	}
	return string(row)
}
