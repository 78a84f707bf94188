package audit

import (
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumlead/backing"
	"gypsumlead/backing/standin"
	"gypsumlead/fault"
)

func refusal(id string) Entry {
	return Entry{
		ID: id, At: began, Actor: "ana", Act: "take", Why: "kernel update\nof rack k1", Refused: "budget", Version: 7,
		Subjects: []Subject{{"pool", "a"}, {"instance", "r1"}}, Inputs: Facts("out", 2, "budget", 2),
	}
}

func TestRefusalIsRecordedOnce(t *testing.T) {
	p := standin.New()
	tr := NewTrail(p.Table, p.Objects)
	p.SetFaults(standin.Faults{Lose: 1}, standin.ServiceTable)
	require.True(t, fault.Is(tr.Refuse(t.Context(), refusal("a")), fault.StoreDown))
	require.NoError(t, tr.Refuse(t.Context(), refusal("a")))
	got, err := tr.Read(t.Context(), Subject{"instance", "r1"}, time.Time{}, time.Time{})
	require.NoError(t, err)
	require.Equal(t, []Entry{refusal("a")}, got)
	require.True(t, fault.Is(tr.Refuse(t.Context(), Entry{ID: "a"}), fault.Invalid))
}

func TestRefusalsOverTheRateAreCounted(t *testing.T) {
	p := standin.New()
	now := began
	tr := NewTrail(p.Table, p.Objects, WithRate(1, 2), WithClock(func() time.Time { return now }))
	for i := range 10 {
		require.NoError(t, tr.Refuse(t.Context(), refusal(fmt.Sprint(i))))
	}
	require.EqualValues(t, 2, p.Counts(standin.ServiceTable).Writes)
	now = now.Add(time.Second)
	last := refusal("last")
	last.At = time.Time{}
	p.SetFaults(standin.Faults{Down: true})
	require.Error(t, tr.Refuse(t.Context(), last))
	p.SetFaults(standin.Faults{})
	now = now.Add(time.Second)
	require.NoError(t, tr.Refuse(t.Context(), last))
	got, err := tr.Read(t.Context(), Subject{"pool", "a"}, now, time.Time{})
	require.NoError(t, err)
	require.Len(t, got, 1)
	require.Contains(t, got[0].Inputs, Input{"dropped", "8"})
}

func TestReadKeepsToItsRangeAndSubject(t *testing.T) {
	p := standin.New()
	tr := NewTrail(p.Table, p.Objects, WithBatch(4))
	for i := range 20 {
		e := refusal(fmt.Sprint(i))
		e.At = began.Add(time.Duration(i) * time.Minute)
		// The keys of subject a/b start like those of a.
		e.Subjects = []Subject{{"pool", "a"}, {"pool", "a/b"}}[i%2 : i%2+1]
		require.NoError(t, tr.Refuse(t.Context(), e))
	}
	n, err := tr.Archive(t.Context(), began.Add(15*time.Minute))
	require.NoError(t, err)
	require.Equal(t, 15, n)
	got, err := tr.Read(t.Context(), Subject{"pool", "a"}, began.Add(4*time.Minute), began.Add(18*time.Minute))
	require.NoError(t, err)
	require.Len(t, got, 7)
	require.Equal(t, "4", got[0].ID)
	require.Equal(t, "16", got[6].ID)
}

func TestRowUnderAStrangeSubjectIsABreach(t *testing.T) {
	p := standin.New()
	tr := NewTrail(p.Table, p.Objects)
	e := refusal("a")
	op := backing.Put{Key: Prefix + "pool/b/1", Value: encode(t, e)}
	require.NoError(t, p.Table.Commit(t.Context(), backing.Tx{Ops: []backing.Op{op}}))
	_, err := tr.Archive(t.Context(), began.Add(time.Hour))
	require.True(t, fault.Is(err, fault.Breach), "%v", err)
	rows, err := p.Table.Read(t.Context(), op.Key)
	require.NoError(t, err)
	require.EqualValues(t, 1, rows[0].Version)
}

// golden compares got with the file, which is written where it doesn't exist.
func golden(t *testing.T, name string, got []byte) {
	t.Helper()
	path := "testdata/" + name
	want, err := os.ReadFile(path)
	if os.IsNotExist(err) {
		require.NoError(t, os.WriteFile(path, got, 0o600))
		t.Fatalf("%s didn't exist and was written: look at it and commit it", path)
	}
	require.NoError(t, err)
	require.Equal(t, string(want), string(got))
}

func TestGoldenFormats(t *testing.T) {
	e := refusal("a")
	golden(t, "entry.golden", append(encode(t, e), '\n'))
	golden(t, "archive.golden", append(encode(t, Archive{Schema: archiveSchema, Entries: []Entry{e}}), '\n'))
	ops, err := Ops(e)
	require.NoError(t, err)
	golden(t, "keys.golden", []byte(backing.KeyOf(ops[0])+"\n"+backing.KeyOf(ops[1])+"\n"+objectName(e.Subjects[0], []Entry{e})+"\n"))
	plain := Entry{ID: "b", At: began.Add(time.Minute), Actor: "pool-duty@entry-2", Act: "return", Subjects: e.Subjects[:1]}
	golden(t, "explain.golden", []byte(Explain([]Entry{e, plain})))
}
