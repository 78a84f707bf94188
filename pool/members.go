package pool

import (
	"gypsumlead/fault"
)

// CheckMembers holds all pools' rows, by name, against the member records, by instance: each
// instance stands in exactly the row that its record names. The rows and records must be of one instant.
func CheckMembers(states map[string]State, records map[string]string) error {
	in := make(map[string]string, len(records))
	for name, s := range states {
		if err := s.Check(); err != nil {
			return inPool(name, err)
		}
		for _, m := range s.Members {
			if other, twice := in[m.ID]; twice {
				return fault.New(fault.Breach, "instance %s is in pools %s and %s", m.ID, other, name)
			}
			in[m.ID] = name
		}
	}
	for id, name := range records {
		if in[id] != name {
			return fault.New(fault.Breach, "instance %s has a record of pool %s and stands in the row of %q", id, name, in[id])
		}
		delete(in, id)
	}
	for id, name := range in {
		return fault.New(fault.Breach, "instance %s stands in the row of pool %s and has no record", id, name)
	}
	return nil
}
