// Package leader runs the scheduler of one service for the daemon that holds it: it loads what earlier holders left, talks to the runners, and commits jobs and their progress to the platform's store.
package leader
