// Package spread brings accepted changes into force on every daemon: pushed by whoever has them first, pulled from the platform's table and from peers.
package spread
