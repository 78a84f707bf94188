package client

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"time"

	"gypsumlead/backing"
	"gypsumlead/backing/wire"
	"gypsumlead/fault"
)

const (
	defaultTimeout = 3 * time.Second
	dialTimeout    = 1 * time.Second
	idleTimeout    = 20 * time.Second
	connLimit      = 64      // connections in all
	idleLimit      = 16      // connections kept for reuse
	headLimit      = 8 << 10 // bytes of an answer's header
)

// Client is the platform over HTTP; its fields are the four services.
type Client struct {
	Table     *Table
	Objects   *Objects
	Instances *Instances
	Workers   *Workers
	Roster    *Roster

	conn *conn
}

// The services implement the platform's interfaces.
var (
	_ backing.Table     = (*Table)(nil)
	_ backing.Objects   = (*Objects)(nil)
	_ backing.Instances = (*Instances)(nil)
	_ backing.Workers   = (*Workers)(nil)
	_ backing.Roster    = (*Roster)(nil)
)

// Dial opens a connection to the platform.
type Dial func(ctx context.Context, network, addr string) (net.Conn, error)

// Option changes a Client under construction.
type Option func(*conn)

// WithTimeout sets the longest that one operation may take.
func WithTimeout(d time.Duration) Option {
	return func(c *conn) { c.timeout = d }
}

// WithDial sets how connections are opened.
func WithDial(d Dial) Option {
	return func(c *conn) { c.transport.DialContext = d }
}

// New returns a client of the platform at addr.
func New(addr netip.AddrPort, opts ...Option) *Client {
	c := &conn{
		base:    "http://" + addr.String(),
		timeout: defaultTimeout,
		transport: &http.Transport{
			DialContext:            (&net.Dialer{Timeout: dialTimeout}).DialContext,
			IdleConnTimeout:        idleTimeout,
			MaxConnsPerHost:        connLimit,
			MaxIdleConnsPerHost:    idleLimit,
			MaxResponseHeaderBytes: headLimit,
			DisableCompression:     true,
		},
	}
	for _, o := range opts {
		o(c)
	}
	c.http = &http.Client{
		Transport: c.transport,
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}
	return &Client{
		Table:     &Table{c},
		Objects:   &Objects{c},
		Instances: &Instances{c},
		Workers:   &Workers{c},
		Roster:    &Roster{c: c},
		conn:      c,
	}
}

// Close closes the connections that are not in use.
func (c *Client) Close() {
	c.conn.transport.CloseIdleConnections()
}

// conn is the way to one platform.
type conn struct {
	base      string
	timeout   time.Duration
	transport *http.Transport
	http      *http.Client
}

// unseekable hides everything but Read, so that net/http can't rewind the body to send it again.
type unseekable struct{ io.Reader }

// call posts one message and reads its answer.
func (c *conn) call(ctx context.Context, path string, question, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	body, err := json.Marshal(question)
	if err != nil {
		return fault.Wrap(fault.Invalid, err, "encode a message to the platform's %s", path)
	}
	// A body that net/http knows would get a GetBody, with which a POST may be sent again.
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+path, unseekable{bytes.NewReader(body)})
	if err != nil {
		return fault.Wrap(fault.Internal, err, "make a request to the platform's %s", path)
	}
	req.ContentLength = int64(len(body))
	req.Header.Set("Content-Type", "application/json")
	res, err := c.http.Do(req)
	if err != nil {
		c.condemn(err)
		return fault.Wrap(fault.StoreDown, err, "ask the platform's %s", path)
	}
	defer res.Body.Close()
	if err := c.answer(res, path, answer); err != nil {
		c.condemn(err)
		return err
	}
	return nil
}

// condemn closes idle connections after a timeout: what silenced one may have silenced all.
func (c *conn) condemn(err error) {
	var ne net.Error
	if errors.As(err, &ne) && ne.Timeout() {
		c.transport.CloseIdleConnections()
	}
}

// answer decodes the answer or the fault in it; whatever isn't understood leaves the outcome unknown.
func (c *conn) answer(res *http.Response, path string, answer any) error {
	if res.StatusCode != http.StatusOK {
		return faultOf(res, path)
	}
	err := wire.Decode(res.Body, answer)
	return fault.Wrap(fault.StoreDown, err, "read the answer of the platform's %s", path)
}

// faultOf returns the fault that the platform names, where it is one that a service may answer with.
func faultOf(res *http.Response, path string) error {
	var b fault.Body
	if err := wire.Decode(res.Body, &b); err != nil {
		return fault.Wrap(fault.StoreDown, err, "the platform's %s answered with status %d", path, res.StatusCode)
	}
	for _, k := range []fault.Kind{fault.Conflict, fault.Missing, fault.Fenced, fault.Invalid, fault.TooLarge} {
		if b.Kind == k.String() && res.StatusCode == fault.AnswerTo(k).Status {
			return fault.New(k, "the platform's %s: %s", path, b.Text)
		}
	}
	return fault.New(fault.StoreDown, "the platform's %s answered with status %d: %s", path, res.StatusCode, b.Text)
}
