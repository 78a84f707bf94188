package spread

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"go.uber.org/zap"

	"gypsumlead/fault"
	"gypsumlead/journal"
	"gypsumlead/peer"
	"gypsumlead/peer/wire"
)

const (
	pollTimeout = 2 * time.Second // for one look at the table
	callTimeout = 2 * time.Second // for one pull from a peer
	pushTimeout = 1 * time.Second // for one round of pushes
	pullLimit   = 500             // changes asked of a peer at once
)

// Mesh is the part of peer.Mesh that changes travel over.
type Mesh interface {
	Call(ctx context.Context, instance string, req *wire.Request) (*wire.Response, error)
	Behind(seq int64) []peer.Lag
	Learn(instance string, seq int64)
}

// Spreader keeps a daemon's configuration as new as the table's and its peers'.
type Spreader struct {
	state  *journal.State
	reader *journal.Reader
	mesh   Mesh
	log    *zap.Logger
	poll   time.Duration

	kick  chan struct{} // the table may have something new
	ahead chan string   // a peer that has something new
	push  chan struct{} // peers may be behind
	store *health
}

// New returns a spreader of state over mesh; poll is the time between two looks at the table.
func New(state *journal.State, reader *journal.Reader, mesh Mesh, poll time.Duration, log *zap.Logger) *Spreader {
	return &Spreader{
		state:  state,
		reader: reader,
		mesh:   mesh,
		log:    log,
		poll:   poll,
		kick:   make(chan struct{}, 1),
		ahead:  make(chan string, 1),
		push:   make(chan struct{}, 1),
		store:  &health{},
	}
}

// Run polls, pulls and pushes until ctx ends.
func (s *Spreader) Run(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.runPush(ctx)
	}()
	s.runPull(ctx)
	<-done
	return nil
}

// runPull looks at the table at each tick or kick, and at a peer that said it is ahead.
func (s *Spreader) runPull(ctx context.Context) {
	tick := time.NewTicker(s.poll)
	defer tick.Stop()
	s.fromTable(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			s.fromTable(ctx)
		case <-s.kick:
			s.fromTable(ctx)
		case who := <-s.ahead:
			s.fromPeer(ctx, who)
		}
	}
}

// runPush sends what peers lack whenever something was applied.
func (s *Spreader) runPush(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.push:
			s.toPeers(ctx)
		}
	}
}

// Applied tells that a change is in force; it is the state's hook.
func (s *Spreader) Applied(journal.Change) {
	signal(s.push)
}

// Accepted brings a change that this daemon has just had accepted into force here and soon elsewhere.
func (s *Spreader) Accepted(c journal.Change) {
	if _, err := s.state.Apply(c); err != nil {
		signal(s.kick) // others came before it
	}
}

// CatchUp brings the table's newest change into force here before it returns.
func (s *Spreader) CatchUp(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	err := s.reader.CatchUp(ctx, s.state)
	s.store.note(err)
	return err
}

// Seq returns the number of the newest change in force.
func (s *Spreader) Seq() int64 {
	return s.state.Seq()
}

// Store returns the last fault of the table, or nil while it answers.
func (s *Spreader) Store() error {
	return s.store.last()
}

func (s *Spreader) fromTable(ctx context.Context) {
	before := s.Store()
	err := s.CatchUp(ctx)
	if ctx.Err() != nil {
		return
	}
	if err != nil && before == nil {
		s.log.Warn("read the configuration from the table", zap.Error(err))
	}
	if err == nil && before != nil {
		s.log.Info("the table answers again", zap.Int64("seq", s.state.Seq()))
	}
}

// fromPeer pulls what a peer is ahead.
func (s *Spreader) fromPeer(ctx context.Context, who string) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req := &wire.Request{Body: &wire.Request_Pull{Pull: &wire.Pull{After: s.state.Seq(), Limit: pullLimit}}}
	resp, err := s.mesh.Call(ctx, who, req)
	if err == nil {
		err = s.take(resp.GetPulled())
	}
	if err != nil {
		s.log.Debug("pull from peer", zap.String("peer", who), zap.Error(err))
	}
}

// take applies what a peer answered.
func (s *Spreader) take(p *wire.Pulled) error {
	if data := p.GetSnapshot(); len(data) > 0 {
		snap, err := journal.DecodeSnapshot(data)
		if err != nil {
			return err
		}
		s.state.Restore(snap)
		return nil
	}
	changes, err := decode(p.GetChanges())
	if err != nil {
		return err
	}
	_, err = s.state.Apply(changes...)
	return err
}

// toPeers pushes to each peer that is behind, all at once, so that a silent one delays no other.
func (s *Spreader) toPeers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pushTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, p := range s.mesh.Behind(s.state.Seq()) {
		wg.Go(func() { s.toPeer(ctx, p) })
	}
	wg.Wait()
}

// toPeer pushes what the peer isn't known to have; one that is further behind pulls when it sees the next ping.
func (s *Spreader) toPeer(ctx context.Context, p peer.Lag) {
	changes, ok := s.state.Since(max(p.Seq, s.state.Seq()-pullLimit), pullLimit)
	if !ok || len(changes) == 0 {
		return
	}
	data, err := encode(changes)
	if err != nil {
		s.log.Error("encode changes", zap.Error(err))
		return
	}
	if _, err := s.mesh.Call(ctx, p.Instance, &wire.Request{Body: &wire.Request_Push{Push: &wire.Push{Changes: data}}}); err != nil {
		s.log.Debug("push to peer", zap.String("peer", p.Instance), zap.Error(err))
	}
}

// Saw notes how far a peer says it is, and pulls from it where it is ahead.
func (s *Spreader) Saw(who string, seq int64) {
	s.mesh.Learn(who, seq)
	if seq > s.state.Seq() {
		select {
		case s.ahead <- who:
		default:
		}
	}
}

// Push serves a peer's push.
func (s *Spreader) Push(who string, p *wire.Push) (*wire.Ack, error) {
	changes, err := decode(p.GetChanges())
	if err != nil {
		return nil, err
	}
	if len(changes) > 0 {
		s.mesh.Learn(who, changes[len(changes)-1].Seq)
	}
	if _, err := s.state.Apply(changes...); err != nil {
		if !fault.Is(err, fault.Missing) {
			return nil, err
		}
		signal(s.kick)
		s.Saw(who, changes[len(changes)-1].Seq)
	}
	return &wire.Ack{Seq: s.state.Seq()}, nil
}

// Pull serves a peer's pull with the changes that it lacks, or with a snapshot.
func (s *Spreader) Pull(p *wire.Pull) (*wire.Pulled, error) {
	limit := min(max(int(p.GetLimit()), 1), pullLimit)
	changes, ok := s.state.Since(p.GetAfter(), limit)
	if ok {
		data, err := encode(changes)
		return &wire.Pulled{Changes: data}, err
	}
	data, err := json.Marshal(s.state.Snapshot())
	return &wire.Pulled{Snapshot: data}, fault.Wrap(fault.Internal, err, "encode snapshot")
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
