// Package settings is the daemon's JSON settings file: one documented struct, its defaults and its checks.
package settings
