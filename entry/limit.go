package entry

import (
	"net"
	"sync"
)

// Limit returns a listener that has at most n connections open at once; further ones wait in the
// kernel's queue, where they cost this process nothing.
func Limit(l net.Listener, n int) net.Listener {
	return &limited{Listener: l, room: make(chan struct{}, n), done: make(chan struct{})}
}

type limited struct {
	net.Listener

	room chan struct{}
	done chan struct{}
	once sync.Once
}

// Accept waits for room, then for a connection.
func (l *limited) Accept() (net.Conn, error) {
	select {
	case l.room <- struct{}{}:
	case <-l.done:
		return nil, net.ErrClosed
	}
	c, err := l.Listener.Accept()
	if err != nil {
		<-l.room
		return nil, err
	}
	return &limitedConn{Conn: c, leave: sync.OnceFunc(func() { <-l.room })}, nil
}

// Close ends Accept, also one that waits for room.
func (l *limited) Close() error {
	l.once.Do(func() { close(l.done) })
	return l.Listener.Close()
}

type limitedConn struct {
	net.Conn

	leave func()
}

// Close closes the connection and makes room for another.
func (c *limitedConn) Close() error {
	defer c.leave()
	return c.Conn.Close()
}
