// Package wire holds the generated messages of the protocol between daemons.
package wire
