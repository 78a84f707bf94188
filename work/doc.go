// Package work is the vocabulary of jobs: what callers hand in, and the names of tasks.
package work
