package record

// KindTeam is the kind of Team records.
const KindTeam Kind = "team"

// Team says how much of each pool of workers a team's tasks may hold at once.
type Team struct {
	Quotas []Quota `json:"quotas"`
}

// Quota is a team's bound in one pool, which the pool's holder can check without asking other pools.
type Quota struct {
	Pool   string  `json:"pool,omitempty"` // empty means each pool that has no quota of its own
	Cores  float64 `json:"cores"`
	Memory int64   `json:"memory"` // bytes
	Accels int     `json:"accels,omitempty"`
}

// Kind returns KindTeam.
func (*Team) Kind() Kind { return KindTeam }

// Schema returns 1.
func (*Team) Schema() int { return 1 }

// Check names every quota at fault.
func (t *Team) Check() error {
	var bad faults
	bad.addIf(len(t.Quotas) == 0, "quotas is empty")
	seen := make(map[string]bool, len(t.Quotas))
	for i, q := range t.Quotas {
		bad.addIf(seen[q.Pool], "quotas[%d].pool %q stands twice", i, q.Pool)
		bad.addIf(!(q.Cores >= 0), "quotas[%d].cores is %v, below 0", i, q.Cores)
		bad.addIf(q.Memory < 0, "quotas[%d].memory is %d, below 0", i, q.Memory)
		bad.addIf(q.Accels < 0, "quotas[%d].accels is %d, below 0", i, q.Accels)
		seen[q.Pool] = true
	}
	return bad.err(KindTeam)
}

// In returns the team's quota in pool, and whether it has one.
func (t *Team) In(pool string) (Quota, bool) {
	var general Quota
	found := false
	for _, q := range t.Quotas {
		if q.Pool == pool {
			return q, true
		}
		if q.Pool == "" {
			general, found = q, true
		}
	}
	return general, found
}
