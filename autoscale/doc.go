// Package autoscale decides how machines are divided between the spare pool, where they are powered off, and the pools
// that need them. It has no side effects.
package autoscale
