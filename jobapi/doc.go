// Package jobapi is the HTTP API for callers' jobs. It maps a request to a queue, passes it to the leader of the queue's
// service, and writes the response.
package jobapi
