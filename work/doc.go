// Package work defines jobs as callers submit them, the names of their tasks, and what runners report of the tasks'
// runs.
package work
