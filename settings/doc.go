// Package settings loads and checks the daemon's JSON settings file. One struct with doc tags defines the settings, and
// the reference page and JSON Schema are generated from it.
package settings
