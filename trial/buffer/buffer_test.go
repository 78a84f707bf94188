package buffer

import (
	"bytes"
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumlead/fault"
)

func try(t *testing.T, p Plan) Line {
	t.Helper()
	p.Length = 3 * time.Hour
	l, err := p.Try()
	require.NoError(t, err)
	return l
}

func TestLendingServesMoreThanFixedAndMovesLessThanEager(t *testing.T) {
	for _, site := range []string{"peachtree", "tarjeta"} {
		p := Plan{Seed: 1, Site: site, Load: loadBoth, Reserve: defaultReserve}
		lines := map[string]Line{}
		for _, d := range []string{designFixed, designEager, designLend} {
			p.Design = d
			lines[d] = try(t, p)
		}
		lend := lines[designLend]
		require.Greater(t, lend.Served, lines[designFixed].Served)
		require.GreaterOrEqual(t, lend.Served, lines[designEager].Served)
		require.Less(t, 5*lend.Moved, lines[designEager].Moved)
		require.LessOrEqual(t, lend.Buffer, lines[designFixed].Buffer)
	}
}

func TestBurstsOfSecondsMoveNothing(t *testing.T) {
	p := Plan{Seed: 1, Site: "peachtree", Load: loadBursts, Reserve: defaultReserve, Design: designLend}
	l := try(t, p)
	require.Zero(t, l.Moved)
	require.GreaterOrEqual(t, l.Served, 0.99, "the queue carries them")
	p.Design = designEager
	require.Greater(t, try(t, p).Moved, 100)
}

func TestRunPrintsOneLine(t *testing.T) {
	args := []string{"-seed", "3", "-length", "1h", "-site", "tarjeta"}
	var one, two bytes.Buffer
	require.NoError(t, Run(args, &one))
	require.NoError(t, Run(args, &two))
	require.Equal(t, one.String(), two.String(), "the same seed gives the same line")
	var l Line
	require.NoError(t, json.Unmarshal(one.Bytes(), &l))
	require.EqualValues(t, 3, l.Seed)
	for _, bad := range [][]string{{"-site", "x"}, {"-design", "x"}, {"-load", "x"}, {"-none"}} {
		require.True(t, fault.Is(Run(bad, &bytes.Buffer{}), fault.Invalid), bad)
	}
}
