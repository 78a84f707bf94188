// Package journal is the accepted configuration: one ordered log of changes in the platform's table, and the state that each daemon has in force from it.
package journal
