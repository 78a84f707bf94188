// Package flood is a trial of admission under a flood: it drives the real decisions of package share on virtual time and compares designs on the same seeds.
package flood
