// Package timeline orders the events of a trial on virtual time.
package timeline
