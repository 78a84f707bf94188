// Package wire is the messages and paths of the platform's services over HTTP: each operation is a POST of one JSON message that is answered by one.
package wire
