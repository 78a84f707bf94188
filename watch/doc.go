// Package watch follows the changes of one table of the platform's store.
package watch
