// Package record holds the operators' schema-versioned records and the envelope that they are stored and sent in.
package record
