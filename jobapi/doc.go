// Package jobapi takes callers' requests about jobs: it finds their queue, brings them to the daemon that schedules it, and answers.
package jobapi
