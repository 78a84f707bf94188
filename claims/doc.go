// Package claims is what daemons share of the machines: the platform's list of them, and a row a machine that says who gives it orders, whose version is the fencing token of these orders.
package claims
