// Package job decides which tasks run on which workers of a pool: placement, quotas, estimates of sizes, quarantine, and room for urgent work.
package job
