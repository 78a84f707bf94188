// Package claim makes a keyed request run at most once over all entries: whoever sends it has first claimed its key in the platform's table.
package claim
