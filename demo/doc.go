// Package demo runs the whole path in one process: real daemons and stand-ins of the platform and the runners, over HTTP on loopback.
package demo
