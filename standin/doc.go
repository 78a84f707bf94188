// Package standin plays the users' platform in one process: the table store, runners, machines and the operator, over a network whose links can be cut. It takes the faults of that platform and notes every broken promise that it sees.
package standin
