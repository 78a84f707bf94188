// Package relay chooses how a daemon's calls to the store are made: directly, or through another daemon while the store
// rejects this one and serves others.
package relay
