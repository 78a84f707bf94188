// Package cache is what a daemon knows of the operator's wishes and of the runners: the configuration in force, the waves, and the list of runners.
package cache
