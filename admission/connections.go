package admission

import (
	"container/list"
	"net"
	"net/http"
	"sync"
	"time"
)

// Times of evictions.
const (
	retryEviction = 100 * time.Millisecond // an eviction that has not closed a connection is followed by another
	timeToBegin   = time.Second            // for a connection's next request to arrive before it gives way to a new connection
	timeToArrive  = 500 * time.Millisecond // for a request's body
)

// Connections bounds the open connections of a server. At the bound a new connection waits until another one is closed. Those give
// way that have waited longest for a request, or else have the longest unfinished body, but none younger than timeToBegin or timeToArrive.
// It knows connections by the listener that Listen returns and by Track, the server's ConnState hook.
type Connections struct {
	limit  int
	bodies *Budget

	mu      sync.Mutex
	open    map[net.Conn]*list.Element // its place in waiting, nil while it has a request
	waiting list.List                  // of waitingConn, the longest first
	evicted int64
	changed chan struct{} // woken when a connection is closed; both who wait for it also look again after a time
	ended   chan struct{} // closed with the listener
}

// waitingConn is a connection that waits for a request.
type waitingConn struct {
	net.Conn
	since time.Time
}

// NewConnections returns the bound of a server whose bodies are parts of a budget.
func NewConnections(limit int, bodies *Budget) *Connections {
	return &Connections{limit: limit, bodies: bodies, open: map[net.Conn]*list.Element{}, changed: make(chan struct{}, 1), ended: make(chan struct{})}
}

// Len returns the number of open connections.
func (c *Connections) Len() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open)
}

// Evicted returns how many connections were closed, or their bodies evicted, for new ones.
func (c *Connections) Evicted() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.evicted
}

// Changed receives when a connection has been closed.
func (c *Connections) Changed() <-chan struct{} { return c.changed }

// Track keeps track of a connection's state.
func (c *Connections) Track(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	place, open := c.open[conn]
	if !open {
		return
	}
	if place != nil {
		c.waiting.Remove(place)
	}
	switch state {
	case http.StateNew, http.StateIdle:
		c.open[conn] = c.waiting.PushBack(waitingConn{conn, time.Now()})
		return // it is too young to give way
	case http.StateActive:
		c.open[conn] = nil
		return
	case http.StateClosed, http.StateHijacked:
		delete(c.open, conn)
	}
	select {
	case c.changed <- struct{}{}:
	default:
	}
}

// Listen returns a listener that accepts the connections of inner within the bound.
func (c *Connections) Listen(inner net.Listener) net.Listener {
	return &boundListener{Listener: inner, conns: c}
}

type boundListener struct {
	net.Listener
	conns *Connections
	end   sync.Once
}

// Accept waits for a connection and for room for it.
func (l *boundListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if !l.conns.admit(conn) {
		_ = conn.Close()
		return nil, net.ErrClosed
	}
	return conn, nil
}

// Close closes the listener; connections that wait for room are closed.
func (l *boundListener) Close() error {
	l.end.Do(func() { close(l.conns.ended) })
	return l.Listener.Close()
}

// admit adds a connection once there is room. It returns false if the listener is closed before.
func (c *Connections) admit(conn net.Conn) bool {
	for !c.add(conn) {
		select {
		case <-c.ended:
			return false
		case <-c.changed:
		case <-time.After(retryEviction):
		}
	}
	return true
}

// add adds a connection, or else makes another one give way.
func (c *Connections) add(conn net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.open) < c.limit {
		c.open[conn] = c.waiting.PushBack(waitingConn{conn, time.Now()})
		return true
	}
	select {
	case <-c.changed: // of before
	default:
	}
	if c.evictWaiting(timeToBegin) || c.bodies.EvictLongest(timeToArrive) {
		c.evicted++
	}
	return false
}

// evictWaiting closes the connection that has waited longest for a request. It returns false if none has waited for so long.
func (c *Connections) evictWaiting(atLeast time.Duration) bool {
	longest := c.waiting.Front()
	if longest == nil || time.Since(longest.Value.(waitingConn).since) < atLeast {
		return false
	}
	victim := c.waiting.Remove(longest).(waitingConn)
	c.open[victim.Conn] = nil
	_ = victim.Close() // its server's pending read fails, and Track learns of it
	return true
}
