package e2e

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"gypsumlead/backing/standin"
)

// holderOf returns the daemon that holds a duty, or nil.
func (s *site) holderOf(duty string) *entryProcess {
	for _, e := range s.entries {
		out, code := s.operator(e, "status")
		if code == 0 && strings.Contains(out, duty) {
			return e
		}
	}
	return nil
}

// drop takes a daemon off the site's list.
func (s *site) drop(gone *entryProcess) {
	var left []*entryProcess
	for _, e := range s.entries {
		if e != gone {
			left = append(left, e)
		}
	}
	s.entries = left
}

// accounts returns what every runner has done.
func (s *site) accounts() []standin.Account {
	s.t.Helper()
	var out []standin.Account
	for _, addr := range s.runners {
		res, err := http.Get("http://" + addr.String() + standin.PathLedger)
		require.NoError(s.t, err)
		var a standin.Account
		require.NoError(s.t, json.NewDecoder(res.Body).Decode(&a))
		res.Body.Close()
		out = append(out, a)
	}
	return out
}

func TestWaveGoesOnAfterItsHolderIsKilled(t *testing.T) {
	s := newSite(t)
	for i := range 3 {
		s.addRunner(fmt.Sprintf("runner-%d", i), "c1", fmt.Sprintf("rack-%d", i))
	}
	for i := range 3 {
		s.addEntry(fmt.Sprintf("entry-%d", i), "c1")
	}
	s.basics(s.entries[0], "runner-0", "runner-1", "runner-2")
	s.serves(s.entries[0])

	var holder *entryProcess
	eventually(t, "some daemon holds the pool's duty", func() bool {
		holder = s.holderOf("pool/texts")
		return holder != nil
	})
	s.drop(holder)

	// Callers ask all the time; the balancer knows which daemons are there.
	var stop atomic.Bool
	var callers sync.WaitGroup
	var served, broken atomic.Int64
	steady := s.entries[0]
	for c := range 4 {
		callers.Go(func() {
			for n := 0; !stop.Load(); n++ {
				id := fmt.Sprintf("wave-%d-%d", c, n)
				code, _, body := s.ask(steady, "/notices/send", id)
				if code == http.StatusOK && body == string(standin.AnswerBody(id, len(body))) {
					served.Add(1)
				}
				if code == http.StatusBadGateway || code == http.StatusGatewayTimeout {
					broken.Add(1)
				}
			}
		})
	}

	// The wave begins, and the daemon that steps it is killed.
	wave := writeJSON(t, "wave.json", map[string]any{"schema": 1, "body": map[string]any{"pools": []string{"texts"}}})
	s.must(steady, "put", "wave", "kernel-1", "-file", wave)
	eventually(t, "the first instance is taken", func() bool {
		return strings.Contains(s.must(steady, "wave", "status", "kernel-1"), "draining")
	})
	require.NoError(t, holder.cmd.Process.Kill())
	s.post(standin.PathRemove, standin.Named{Instance: holder.id})

	// It goes on to its end, and cuts nothing.
	eventually(t, "the wave is done", func() bool {
		return strings.Contains(s.must(steady, "wave", "status", "kernel-1"), "wave kernel-1: done")
	})
	stop.Store(true)
	callers.Wait()
	for i, a := range s.accounts() {
		require.Zero(t, a.Total().Cut, "runner %d", i)
		require.Equal(t, fmt.Sprintf("runner-%d-2", i), a.Boot, "rebooted once")
	}
	require.Zero(t, broken.Load())
	require.Positive(t, served.Load())
	require.Contains(t, s.must(steady, "explain", "instance", "runner-0"), "take")

	// Under load a daemon stops in good order: nothing of what it took in is cut.
	for _, e := range s.entries {
		require.Zero(t, e.term(), e.errs)
	}
}
