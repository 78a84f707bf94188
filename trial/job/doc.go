// Package jobtrial measures the decisions on jobs over a small stand-in of the platform on virtual time.
package jobtrial
