// Package cache holds a daemon's copies of the operator's configuration and maintenance waves, and of the list of
// runners.
package cache
