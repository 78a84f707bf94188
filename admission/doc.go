// Package admission bounds what requests that are still arriving may take of a process: the memory of their bodies and the
// connections they come on. It decides who gives way; its callers read, refuse and close.
package admission
