package fault

import (
	"errors"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestEveryKindHasUniqueAnswer(t *testing.T) {
	names := map[string]Kind{}
	for _, k := range Kinds() {
		a := AnswerTo(k)
		require.NotEmpty(t, a.Name)
		require.NotContains(t, names, a.Name)
		names[a.Name] = k
		require.GreaterOrEqual(t, a.Status, 400)
		require.Contains(t, []Outcome{Ran, NotRun, Unknown}, a.Outcome)
	}
}

func TestOutermostKindWins(t *testing.T) {
	inner := New(Unavailable, "read row %q", "a")
	outer := Wrap(NoUpstream, inner, "pick a runner")
	require.Equal(t, NoUpstream, KindOf(outer))
	require.Equal(t, Internal, KindOf(errors.New("plain")))
	require.NoError(t, Wrap(Internal, nil, "nothing"))
}
