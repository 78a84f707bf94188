// Package backing is what the system sees of the platform: its table service, object store, list of instances, and workers.
package backing
