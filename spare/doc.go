// Package spare decides on lending instances of the spare pool to pools that a forecast finds short, and on their return.
package spare
