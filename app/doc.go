// Package app assembles the daemon from its parts and runs them as one group that stops together.
package app
