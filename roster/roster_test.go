package roster

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumlead/backing"
)

func TestRoster(t *testing.T) {
	in := func(boot string, s backing.State) backing.Instance {
		return backing.Instance{ID: "i", Boot: boot, State: s}
	}
	for _, tc := range []struct {
		name  string
		tell  string // boot that a peer says is leaving, after the first list
		lists []backing.Instance
		want  backing.State
	}{
		{"live", "", []backing.Instance{in("1", backing.StateLive)}, backing.StateLive},
		{"leaving is sticky for its boot", "", []backing.Instance{in("1", backing.StateLeaving), in("1", backing.StateLive)}, backing.StateLeaving},
		{"a new boot is live", "", []backing.Instance{in("1", backing.StateLeaving), in("2", backing.StateLive)}, backing.StateLive},
		{"a boot that was still coming up is live", "", []backing.Instance{in("1", backing.StateLeaving), in("2", backing.StateGone), in("2", backing.StateLive)}, backing.StateLive},
		{"a peer knows sooner than the list", "1", []backing.Instance{in("1", backing.StateLive), in("1", backing.StateLive)}, backing.StateLeaving},
		{"a peer's word is of one boot", "1", []backing.Instance{in("1", backing.StateLive), in("2", backing.StateLive)}, backing.StateLive},
	} {
		t.Run(tc.name, func(t *testing.T) {
			learned := map[string]int{}
			r := New(WithLearned(func(_, boot string) { learned[boot]++ }))
			for i, one := range tc.lists {
				r.Update([]backing.Instance{one}, time.Unix(int64(i), 0))
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
	r.Update([]backing.Instance{{ID: "new"}}, time.Unix(2, 0))
	r.Update([]backing.Instance{{ID: "old"}}, time.Unix(1, 0))
	require.Equal(t, "new", r.Instances()[0].ID)
}
