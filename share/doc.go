// Package share divides the slots of a pool between services and their kinds of work: each kind has a guaranteed floor, and idle slots are lent.
package share
