// Package jobapi is the HTTP API for callers' jobs. It maps a request to a queue, passes it to the daemon that schedules
// the queue, and writes the response.
package jobapi
