package control

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"gypsumlead/app"
	"gypsumlead/backing"
	"gypsumlead/backing/client"
	"gypsumlead/backing/standin"
	"gypsumlead/fault"
	"gypsumlead/journal"
	"gypsumlead/pool"
	"gypsumlead/record"
	"gypsumlead/settings"
)

// site is daemons over a stand-in of the platform.
type site struct {
	meter     *meter
	platform  *standin.Platform
	server    *http.Server
	addr      netip.AddrPort
	daemons   []*daemon
	instances int
	pools     int
}

// daemon is one of them.
type daemon struct {
	app    *app.App
	client *client.Client
	stop   context.CancelFunc
	done   chan error
}

func newSite(daemons, instances, pools int) (*site, error) {
	s := &site{meter: &meter{}, platform: standin.New(), instances: instances, pools: pools}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fault.Wrap(fault.Internal, err, "listen for the platform's stand-in")
	}
	s.addr = netip.MustParseAddrPort(l.Addr().String())
	s.server = &http.Server{Handler: s.platform.Handler(), ReadHeaderTimeout: time.Second}
	go func() { _ = s.server.Serve(l) }() // ends with close
	for i := range instances {
		s.platform.PutInstance(backing.Instance{
			ID:     instanceName(i),
			Role:   backing.RoleRunner,
			Addr:   netip.MustParseAddrPort("127.0.0.1:9"),
			Region: "region",
			Centre: fmt.Sprintf("centre-%d", i%max(1, daemons/centreSize)),
			Rack:   fmt.Sprintf("rack-%d", i/centreSize),
		})
	}
	for i := range daemons {
		if err := s.start(i); err != nil {
			s.close()
			return nil, err
		}
	}
	return s, nil
}

func instanceName(i int) string {
	return fmt.Sprintf("runner-%05d", i)
}

func (s *site) start(i int) error {
	open := netip.MustParseAddrPort("127.0.0.1:0")
	set := settings.Defaults()
	set.Instance = fmt.Sprintf("entry-%03d", i)
	set.Region = "region"
	set.Centre = fmt.Sprintf("centre-%d", i/centreSize)
	set.Platform = s.addr
	set.Listen = settings.Listen{Callers: open, Operators: open, Peers: open}
	set.Stop.Wait = 0
	c := client.New(s.addr, client.WithDial(s.meter.dial))
	a, err := app.New(set, app.OverHTTP(c), zap.NewNop(), app.WithPeerDial(s.meter.dialPeer))
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	d := &daemon{app: a, client: c, stop: stop, done: make(chan error, 1)}
	go func() { d.done <- a.Run(ctx) }()
	s.daemons = append(s.daemons, d)
	s.platform.PutInstance(backing.Instance{
		ID:     set.Instance,
		Role:   backing.RoleEntry,
		Addr:   a.Addrs().Callers,
		Peer:   a.Addrs().Peers,
		Region: set.Region,
		Centre: set.Centre,
	})
	return nil
}

// fill makes the pools and puts every instance into one, straight through the journal.
func (s *site) fill() error {
	ctx := context.Background()
	w := journal.NewWriter(s.platform.Table)
	for i := range s.pools {
		name := fmt.Sprintf("pool-%02d", i)
		key := record.Key{Kind: record.KindPool, Name: name}
		_, err := w.Accept(ctx, journal.Proposal{
			ID:      "make-" + name,
			Records: []record.Key{key},
			Decide: func(rows journal.Rows) (journal.Decision, error) {
				e, err := journal.EditOn(rows, key, 0, &record.Pool{Budget: record.Budget{Out: 1}})
				return journal.Decision{Edits: []record.Envelope{e}}, err
			},
		})
		if err != nil {
			return err
		}
	}
	list, err := s.platform.Instances.List(ctx)
	if err != nil {
		return err
	}
	for i, in := range list {
		if in.Role != backing.RoleRunner {
			continue
		}
		r := pool.Request{ID: "assign-" + in.ID, Actor: "trial"}
		if _, err := w.Accept(ctx, pool.ProposeAssign(r, fmt.Sprintf("pool-%02d", i%s.pools), in)); err != nil {
			return err
		}
	}
	return nil
}

func (s *site) counts() standin.Counts {
	return s.platform.Counts(standin.ServiceTable)
}

func (s *site) close() {
	for _, d := range s.daemons {
		d.stop()
	}
	for _, d := range s.daemons {
		<-d.done
		d.client.Close()
	}
	_ = s.server.Close()
}
