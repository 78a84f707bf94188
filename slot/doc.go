// Package slot divides the slots of a runner between the entries of a data centre, by a fixed split or by grants that lapse.
package slot
