// Package autoscale decides how machines are shared out between the spare pool, where they are off, and the pools whose work asks for them. It is pure.
package autoscale
