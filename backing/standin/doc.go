// Package standin is an in-memory stand-in of the platform for tests, trials and the demo, with faults that can be set at any time.
package standin
