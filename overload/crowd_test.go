package overload

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// crowd is a number of clients that each send a head and a body and then stay open.
type crowd struct {
	name   string
	size   int
	port   func(*daemon) string
	head   string // format with the path
	body   []byte
	pieces int // that the body is sent in
}

func callers(d *daemon) string { return d.callers }
func ready(d *daemon) string   { return d.ready }
func peers(d *daemon) string   { return d.peers }

// heads of requests with bodies.
const (
	withLength = " %s HTTP/1.1\r\nHost: " + host + "\r\nAuthorization: Bearer " + key + "\r\nContent-Length: 262144\r\n\r\n"
	withChunks = " %s HTTP/1.1\r\nHost: " + host + "\r\nAuthorization: Bearer " + key + "\r\nTransfer-Encoding: chunked\r\n\r\n"
	withoutKey = " %s HTTP/1.1\r\nHost: " + host + "\r\nContent-Length: 262144\r\n\r\n"
	operators  = " /v1/services?%s HTTP/1.1\r\nHost: " + host + "\r\nContent-Length: 262144\r\n\r\n"
	elsewhere  = " /none%s HTTP/1.1\r\nHost: " + host + "\r\nContent-Length: 262144\r\n\r\n"
)

// almost returns all but the last byte of a body of the size limit.
func almost() []byte { return fullSizeJob()[:maxBody-1] }

// chunked returns almost a whole body in chunks of a size, without the last chunk.
func chunked(size int) []byte {
	var b bytes.Buffer
	for body := almost(); len(body) > 0; {
		n := min(size, len(body))
		fmt.Fprintf(&b, "%x\r\n%s\r\n", n, body[:n])
		body = body[n:]
	}
	return b.Bytes()
}

// join connects the crowd and returns when each client has sent all or been refused; the connections stay open.
func (c crowd) join(t *testing.T, d *daemon) {
	conns := make(chan net.Conn, c.size)
	var wg sync.WaitGroup
	for range c.size {
		wg.Go(func() {
			conn, err := net.DialTimeout("tcp", c.port(d), patience)
			if err != nil {
				return
			}
			conns <- conn
			_ = conn.SetWriteDeadline(time.Now().Add(patience))
			if c.head != "" {
				if _, err := fmt.Fprintf(conn, c.head, newPath()); err != nil {
					return
				}
			}
			for part := range parts(c.body, max(c.pieces, 1)) {
				if _, err := conn.Write(part); err != nil {
					return
				}
				if c.pieces > 1 {
					time.Sleep(10 * time.Millisecond)
				}
			}
		})
	}
	wg.Wait()
	close(conns)
	t.Cleanup(func() {
		for conn := range conns {
			_ = conn.Close()
		}
	})
}

// play lets each crowd occupy a daemon of its own and checks its limits.
func play(t *testing.T, crowds []crowd) {
	for _, c := range crowds {
		t.Run(c.name, func(t *testing.T) {
			d := startDaemon(t)
			c.join(t, d)
			d.requireWithinLimits()
		})
	}
}

// Guards against bodies that stop short of their end and fill the memory of the process.
func TestUnfinishedBodiesExhaustMemory(t *testing.T) {
	play(t, []crowd{
		{"whole at once", 320, callers, "POST" + withLength, almost(), 1},
		{"piece by piece", 320, callers, "POST" + withLength, almost(), 64},
		{"large chunks", 320, callers, "POST" + withChunks, chunked(maxBody), 1},
		{"small chunks", 320, callers, "POST" + withChunks, chunked(1), 1},
	})
}

// Guards against bodies that no handler reads and that hold their connections and memory.
func TestUnreadBodiesExhaustMemoryAndDescriptors(t *testing.T) {
	play(t, []crowd{
		{"with GET", 600, callers, "GET" + withLength, almost(), 1},
		{"with DELETE", 600, callers, "DELETE" + withLength, almost(), 1},
		{"without a key", 600, callers, "POST" + withoutKey, almost(), 1},
		{"unknown route", 600, callers, "POST" + elsewhere, almost(), 1},
		{"readiness port", 600, ready, "POST" + elsewhere, almost(), 1},
		{"interface of operators", 600, ready, "GET" + operators, almost(), 1},
	})
}

// Guards against connections that send nothing or little and take all descriptors of the process.
func TestIdleConnectionsExhaustDescriptors(t *testing.T) {
	play(t, []crowd{
		{"callers", 600, callers, "", nil, 1},
		{"callers with a short body", 600, callers, "POST" + withLength, []byte("{"), 1},
		{"readiness", 600, ready, "", nil, 1},
		{"peers", 600, peers, "", nil, 1},
	})
}

// Guards against bodies that take many times their size once decoded.
func TestDecodedBodiesExhaustMemory(t *testing.T) {
	steps := `{"JobSteps":[` + strings.Repeat("{},", maxBody/3-8) + "{}]}"
	after := `{"JobSteps":[{"Count":1},{"Count":1,"After":[` + strings.Repeat("0,", maxBody/2-100) + "0]}]}"
	play(t, []crowd{
		{"steps without fields", 32, callers, "POST" + withLength, fmt.Appendf(nil, "%-*s", maxBody, steps), 1},
		{"after one step many times", 160, callers, "POST" + withLength, fmt.Appendf(nil, "%-*s", maxBody, after), 1},
	})
}

// Guards against limits that refuse a client inside the documented limits.
func TestSlowBodyOfFullSizeIsServedInCalm(t *testing.T) {
	d := startDaemon(t)
	require.Equal(t, http.StatusOK, d.submit(fullSizeJob(), 500*time.Millisecond))
}
