// Package runner owns the connections to the upstreams: it picks a runner, sends a request to it at most as often as is safe, and says truly whether anything was sent.
package runner
