// Package configcheck checks an operator's configuration before it is sent: it finds entries that are never used, limits
// that contradict each other, and the differences from the version in force. All of it is pure; keys are counted only.
package configcheck
