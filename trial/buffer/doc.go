// Package buffer is a trial of buffer sizing: it drives the real decisions of package spare on virtual time and compares designs on the same seeds.
package buffer
