// Package member is the daemons' view of each other: each writes a row about itself into the platform's store now and then, and follows the rows of the others.
package member
