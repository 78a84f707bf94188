// Package cli implements the commands of gypsumlead: the daemon, the demo, the trials and the operators' commands.
package cli
