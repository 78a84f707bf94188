// Package leader runs the scheduler of one service in the daemon that leads it. It restores the state that earlier
// leaders stored, sends orders to the runners, and commits jobs and their progress to the platform's store.
package leader
