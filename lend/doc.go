// Package lend moves machines between the spare pool, where they are off, and the pools whose work asks for them.
package lend
