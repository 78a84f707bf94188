package app

import (
	"context"
	"crypto/tls"
	"net"
	"net/netip"

	"gypsumlead/fault"
	"gypsumlead/keys"
)

// loadKeys reads the keys for sessions between daemons, where the settings name any.
func (a *App) loadKeys() error {
	t := a.set.TLS
	if t.Cert == "" {
		a.log.Warn("sessions between daemons are open to whoever reaches the port: the settings name no keys")
		return nil
	}
	var err error
	a.keys, err = keys.Load(keys.Files{Cert: t.Cert, Key: t.Key, CA: t.CA})
	return err
}

// dialPeer opens a connection to another daemon, encrypted where there are keys.
func (a *App) dialPeer(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	c, err := a.dial(ctx, addr)
	if err != nil || a.keys == nil {
		return c, err
	}
	secure := tls.Client(c, a.keys.Client())
	if err := secure.HandshakeContext(ctx); err != nil {
		_ = c.Close()
		return nil, fault.Wrap(fault.Unauthorized, err, "agree on keys with the daemon at %s", addr)
	}
	return secure, nil
}
