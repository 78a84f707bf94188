package roster

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumlead/platform"
)

func TestRoster(t *testing.T) {
	in := func(boot string, s platform.State) platform.Instance {
		return platform.Instance{ID: "i", Boot: boot, State: s}
	}
	for _, tc := range []struct {
		name  string
		tell  string // boot that a peer says is leaving, after the first list
		lists []platform.Instance
		want  platform.State
	}{
		{"live", "", []platform.Instance{in("1", platform.StateLive)}, platform.StateLive},
		{"leaving is sticky for its boot", "", []platform.Instance{in("1", platform.StateLeaving), in("1", platform.StateLive)}, platform.StateLeaving},
		{"a new boot is live", "", []platform.Instance{in("1", platform.StateLeaving), in("2", platform.StateLive)}, platform.StateLive},
		{"a boot that was still coming up is live", "", []platform.Instance{in("1", platform.StateLeaving), in("2", platform.StateGone), in("2", platform.StateLive)}, platform.StateLive},
		{"a peer knows sooner than the list", "1", []platform.Instance{in("1", platform.StateLive), in("1", platform.StateLive)}, platform.StateLeaving},
		{"a peer's word is of one boot", "1", []platform.Instance{in("1", platform.StateLive), in("2", platform.StateLive)}, platform.StateLive},
	} {
		t.Run(tc.name, func(t *testing.T) {
			learned := map[string]int{}
			r := New(WithLearned(func(_, boot string) { learned[boot]++ }))
			for i, one := range tc.lists {
				r.Update([]platform.Instance{one}, time.Unix(int64(i), 0))
				if i == 0 && tc.tell != "" {
					r.Leave("i", tc.tell)
				}
			}
			require.Equal(t, tc.want, r.Instances()[0].State)
			for boot, n := range learned {
				require.Equal(t, 1, n, "boot %s is learned of once", boot)
			}
		})
	}
}

func TestAnOlderListIsIgnored(t *testing.T) {
	r := New()
	r.Update([]platform.Instance{{ID: "new"}}, time.Unix(2, 0))
	r.Update([]platform.Instance{{ID: "old"}}, time.Unix(1, 0))
	require.Equal(t, "new", r.Instances()[0].ID)
}
