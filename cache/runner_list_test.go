package cache

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"gypsumlead/platform"
	"gypsumlead/work"
)

// entry returns a runner's row with the given cores.
func entry(cores int) platform.Row {
	value := fmt.Sprintf(`{"Service":"s","Address":"10.0.0.1:80","Zone":"c1","Version":"v1","Slots":8,"ColdLeftMs":0,"State":"ready","SeqNo":4,"Capacity":{"Cpu":%d}}`, cores*1000)
	return platform.Row{RowKey: platform.RowKey{Table: platform.TableRunners, Key: "r1"}, Value: []byte(value)}
}

// listener is what a leader was told last of the runner: its room, or nothing if it is gone.
type listener struct {
	mu   sync.Mutex
	room work.Resources
	busy chan struct{} // receives when the leader begins to handle what it is told
}

func (l *listener) tell(room work.Resources, wait time.Duration) {
	l.busy <- struct{}{}
	time.Sleep(wait)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.room = room
}

func (l *listener) last() work.Resources {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.room
}

// A new leader is given the list while a change of it arrives.
func TestChangeDuringReplayIsOvertakenByOldEntry(t *testing.T) {
	l := &listener{busy: make(chan struct{}, 10)}
	list := NewRunnerList(nil, zap.NewNop(), time.Now, 2*time.Second, time.Second, nil, func(r work.Runner) { l.tell(r.Room, 0) }, func(work.Runner) {})
	list.apply(platform.Page{Rows: []platform.Row{entry(8)}}, true)
	<-l.busy

	var replay sync.WaitGroup
	replay.Go(func() {
		list.Replay("s", func(r work.Runner) { l.tell(r.Room, 20*time.Millisecond) })
	})
	<-l.busy
	list.apply(platform.Page{Rows: []platform.Row{entry(4)}}, false)
	replay.Wait()
	require.Equal(t, work.Resources{CPU: 4000}, l.last())
}

// An entry returns just as its time to do so ends.
func TestReturnOfEntryIsOvertakenByItsRemoval(t *testing.T) {
	l := &listener{busy: make(chan struct{}, 10)}
	list := NewRunnerList(nil, zap.NewNop(), time.Now, 2*time.Second, time.Second, nil, func(r work.Runner) { l.tell(r.Room, 0) }, func(work.Runner) { l.tell(work.Resources{}, 20*time.Millisecond) })
	list.apply(platform.Page{Rows: []platform.Row{entry(8)}}, true)
	<-l.busy
	list.mu.Lock()
	list.missingUntil["r1"] = time.Now()
	list.mu.Unlock()

	ctx, cancel := context.WithCancel(t.Context())
	var expiry sync.WaitGroup
	expiry.Go(func() { _ = list.ExpireMissing(ctx) })
	<-l.busy
	list.apply(platform.Page{Rows: []platform.Row{entry(8)}}, false)
	cancel()
	expiry.Wait()
	require.Equal(t, work.Resources{CPU: 8000}, l.last())
}
