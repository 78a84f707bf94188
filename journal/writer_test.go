package journal

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumlead/audit"
	"gypsumlead/backing/standin"
	"gypsumlead/fault"
	"gypsumlead/record"
)

var poolKey = record.Key{Kind: record.KindPool, Name: "texts"}

// proposal writes the pool's budget on a version.
func proposal(id string, ifVersion int64, out int) Proposal {
	return Proposal{
		ID:      id,
		Digest:  uint64(out),
		Actor:   "maria",
		Records: []record.Key{poolKey},
		Decide: func(rows Rows) (Decision, error) {
			e, err := EditOn(rows, poolKey, ifVersion, &record.Pool{Budget: record.Budget{Out: out}})
			return Decision{Edits: []record.Envelope{e}}, err
		},
	}
}

func TestAccept(t *testing.T) {
	ctx := context.Background()
	p := standin.New()
	w := NewWriter(p.Table)
	first, err := w.Accept(ctx, proposal("one", 0, 1))
	require.NoError(t, err)
	require.EqualValues(t, 1, first.Seq)

	again, err := w.Accept(ctx, proposal("one", 0, 1))
	require.NoError(t, err)
	require.Equal(t, first.Seq, again.Seq, "the same ID is accepted once")

	for _, tc := range []struct {
		name string
		p    Proposal
		kind fault.Kind
	}{
		{"old version", proposal("two", 0, 2), fault.Conflict},
		{"reused ID", proposal("one", 1, 2), fault.Reused},
		{"no ID", proposal("", 1, 2), fault.Invalid},
		{"bad record", proposal("three", 1, -2), fault.Invalid},
	} {
		t.Run(tc.name, func(t *testing.T) {
			_, err := w.Accept(ctx, tc.p)
			require.True(t, fault.Is(err, tc.kind), "%v", err)
		})
	}
	rows, err := p.Table.Scan(ctx, audit.SubjectPrefix(audit.Subject{Kind: "pool", Name: "texts"}), "", 10)
	require.NoError(t, err)
	require.Len(t, rows, 1, "the audit entry stands in the transaction of its change")
}

func TestAcceptWithItsAnswerLost(t *testing.T) {
	p := standin.New()
	w := NewWriter(p.Table, WithClock(time.Now, func(context.Context, time.Duration) error { return nil }))
	p.SetFaults(standin.Faults{Lose: 1}, standin.ServiceTable)
	c, err := w.Accept(context.Background(), proposal("one", 0, 1))
	require.NoError(t, err)
	require.EqualValues(t, 1, c.Seq)
	rows, err := p.Table.Scan(context.Background(), prefixLog, "", 10)
	require.NoError(t, err)
	require.Len(t, rows, 1)
}

func TestAcceptWhileTheTableIsDown(t *testing.T) {
	p := standin.New()
	w := NewWriter(p.Table, WithClock(time.Now, func(context.Context, time.Duration) error { return nil }))
	p.SetFaults(standin.Faults{Down: true}, standin.ServiceTable)
	_, err := w.Accept(context.Background(), proposal("one", 0, 1))
	require.True(t, fault.Is(err, fault.StoreDown), "%v", err)
}

func TestAcceptWhoseOutcomeStaysUnknownSaysSo(t *testing.T) {
	p := standin.New()
	w := NewWriter(p.Table, WithClock(time.Now, func(context.Context, time.Duration) error {
		p.SetFaults(standin.Faults{Down: true}, standin.ServiceTable)
		return nil
	}))
	p.SetFaults(standin.Faults{Lose: 1}, standin.ServiceTable)
	_, err := w.Accept(context.Background(), proposal("one", 0, 1))
	require.True(t, fault.Is(err, fault.Broken), "%v", err)
	require.Equal(t, fault.Unknown, fault.AnswerTo(fault.KindOf(err)).Outcome)
	p.SetFaults(standin.Faults{}, standin.ServiceTable)
	c, err := w.Accept(context.Background(), proposal("one", 0, 1))
	require.NoError(t, err)
	require.EqualValues(t, 1, c.Seq)
}

func TestDecideIsRepeatedAfterALostRace(t *testing.T) {
	ctx := context.Background()
	p := standin.New()
	w := NewWriter(p.Table)
	tries := 0
	mine := proposal("mine", 0, 1)
	decide := mine.Decide
	mine.Decide = func(rows Rows) (Decision, error) {
		tries++
		if tries == 1 {
			other := proposal("other", 0, 5)
			other.Records = nil
			other.Decide = func(Rows) (Decision, error) { return Decision{}, nil }
			_, err := NewWriter(p.Table).Accept(ctx, other)
			require.NoError(t, err)
		}
		return decide(rows)
	}
	c, err := w.Accept(ctx, mine)
	require.NoError(t, err)
	require.EqualValues(t, 2, c.Seq)
	require.Equal(t, 2, tries)
}

func TestStateRefusesToGoBack(t *testing.T) {
	s := NewState()
	e := record.Envelope{Kind: record.KindPool, Name: "texts", Schema: 2}
	_, err := s.Apply(Change{Seq: 1, Records: []record.Envelope{e}})
	require.NoError(t, err)
	n, err := s.Apply(Change{Seq: 1})
	require.NoError(t, err)
	require.Zero(t, n, "a change is applied once")
	_, err = s.Apply(Change{Seq: 3})
	require.True(t, fault.Is(err, fault.Missing), "a gap")
	require.False(t, s.Restore(Snapshot{Seq: 1}), "an old snapshot")
	require.True(t, s.Restore(Snapshot{Seq: 7}))
	require.Empty(t, s.List(""), "records that a newer snapshot lacks are gone")
}
