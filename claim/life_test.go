package claim

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumlead/backing"
	"gypsumlead/backing/standin"
	"gypsumlead/fault"
)

// pair is two entries over one table.
func pair(t *testing.T) (backing.Table, *Keeper, *Keeper) {
	table := standin.New().Table
	a, b := NewKeeper(table, WithEntry("a")), NewKeeper(table, WithEntry("b"))
	t.Cleanup(a.Close)
	t.Cleanup(b.Close)
	return table, a, b
}

func askOf(key string) Ask {
	return Ask{Caller: "c", Key: key, Digest: DigestOf("POST", "/", nil), Life: time.Hour}
}

func claimOf(t *testing.T, k *Keeper, key string) *Ticket {
	res, err := k.Claim(t.Context(), askOf(key))
	require.NoError(t, err)
	require.IsType(t, &Ticket{}, res)
	return res.(*Ticket)
}

func requireClaimed(t *testing.T, k *Keeper, key string) {
	_, err := k.Claim(t.Context(), askOf(key))
	require.True(t, fault.Is(err, fault.Claimed), "%v", err)
	require.Positive(t, fault.RetryAfter(err))
}

func TestDeadClaimantKeepsTheKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, a, b := pair(t)
		claimOf(t, a, "k")
		a.Close()
		for range 20 {
			requireClaimed(t, b, "k")
			time.Sleep(time.Minute)
		}
	})
}

func TestPausedClaimantMustNotSend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, a, b := pair(t)
		ticket := claimOf(t, a, "k")
		require.NoError(t, ticket.Gate())
		time.Sleep(windowDefault + time.Millisecond)
		err := ticket.Gate()
		require.Equal(t, fault.NotRun, fault.AnswerTo(fault.KindOf(err)).Outcome)
		requireClaimed(t, b, "k")
		ticket.NotSent()
		time.Sleep(time.Second)
		claimOf(t, b, "k").Done(nil)
		time.Sleep(time.Second)
		requireClaimed(t, a, "k")
	})
}

func TestAnswersAreKeptForRepeats(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, a, b := pair(t)
		claimOf(t, a, "k").Done(&Answer{Status: 201, Body: []byte("x")})
		time.Sleep(time.Second)
		res, err := b.Claim(t.Context(), askOf("k"))
		require.NoError(t, err)
		require.Equal(t, Stored{Answer: Answer{Status: 201, Body: []byte("x")}}, res)
		other := askOf("k")
		other.Digest[0]++
		_, err = b.Claim(t.Context(), other)
		require.True(t, fault.Is(err, fault.Reused))
	})
}

func TestSweepDeletesExpiredClaimsOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table, a, b := pair(t)
		for i := range 5 * sweepLimit / 2 {
			k := a
			if i%2 == 1 {
				k = b
			}
			claimOf(t, k, fmt.Sprint(i)).Done(nil)
		}
		time.Sleep(time.Hour + skewLimit + time.Minute)
		claimOf(t, a, "young").Done(nil)
		time.Sleep(time.Second)
		deleted := 0
		for range 8 {
			n, err := b.Sweep(t.Context())
			require.NoError(t, err)
			deleted += n
		}
		require.Equal(t, 5*sweepLimit/2, deleted)
		rows, err := table.Scan(t.Context(), Prefix, "", 10)
		require.NoError(t, err)
		require.Len(t, rows, 1)
		requireClaimed(t, b, "young")
	})
}

// TestLateSweepDeletesNothing has a sweep's transaction arrive after another sweep and a new claim of the same key.
func TestLateSweepDeletesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table, a, b := pair(t)
		claimOf(t, a, "k").Done(nil)
		time.Sleep(2 * time.Hour)
		rows, err := table.Scan(t.Context(), Prefix, "", 10)
		require.NoError(t, err)
		late := backing.Tx{Ops: append(expiredOps(rows, time.Now()), backing.Put{Key: sweepKey, Value: []byte(`{}`)})}
		require.Len(t, late.Ops, 2)
		_, err = b.Sweep(t.Context())
		require.NoError(t, err)
		ticket := claimOf(t, b, "k")
		require.True(t, fault.Is(table.Commit(t.Context(), late), fault.Conflict))
		requireClaimed(t, a, "k")
		ticket.Done(nil)
	})
}
