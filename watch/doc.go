// Package watch keeps up with the changes of one table of the platform's store.
package watch
