// Package workspace decides which workspace a caller's key belongs to, which jobs it may see, and whether keys may be
// checked against an old copy of the configuration.
package workspace
