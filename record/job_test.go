package record

import (
	"testing"

	"github.com/stretchr/testify/require"

	"gypsumlead/backing"
	"gypsumlead/fault"
)

func TestJobCheckNamesEveryFault(t *testing.T) {
	good := Job{Team: "t", Pool: "p", Count: 2, Size: backing.Size{Cores: 1, Memory: 1}, Racks: 2}
	require.NoError(t, good.Check())
	bad := Job{Count: 0, Size: backing.Size{Accels: -1}, Time: -1, Urgency: 10, Racks: 1}
	err := bad.Check()
	require.True(t, fault.Is(err, fault.Invalid))
	for _, field := range []string{"team", "pool", "count", "cores", "memory", "accels", "time", "urgency", "racks"} {
		require.ErrorContains(t, err, field)
	}
}

func TestTeamQuotas(t *testing.T) {
	team := Team{Quotas: []Quota{{Cores: 1}, {Pool: "p", Cores: 2}}}
	require.NoError(t, team.Check())
	q, ok := team.In("p")
	require.True(t, ok)
	require.Equal(t, 2.0, q.Cores)
	q, ok = team.In("other")
	require.True(t, ok)
	require.Equal(t, 1.0, q.Cores)
	err := (&Team{Quotas: []Quota{{Cores: -1}, {Memory: -1, Accels: -1}}}).Check()
	for _, field := range []string{"[0].cores", "[1].memory", "[1].accels", "[1].pool"} {
		require.ErrorContains(t, err, field)
	}
}

func TestJobFormat(t *testing.T) {
	e, err := Encode("nightly", &Job{
		Team: "t", Pool: "p", Count: 2, Size: backing.Size{Cores: 1.5, Memory: 8, Accels: 1}, Time: 9,
		Urgency: 3, Restart: true, Save: true, Racks: 2, Cancelled: true,
	})
	require.NoError(t, err)
	require.Equal(t, `{"team":"t","pool":"p","count":2,"size":{"cores":1.5,"memory":8,"accels":1},"time":9,`+
		`"urgency":3,"restart":true,"save":true,"racks":2,"cancelled":true}`, string(e.Body))
}
