package keys

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"gypsumlead/fault"
)

// PeerName is the DNS name that every daemon's certificate has; daemons are reached by IP
// numbers that their certificates needn't know.
const PeerName = "gypsumlead"

const lookEvery = time.Second // between looks at the files

// Files name a certificate, its key, and the authorities that sign the daemons' certificates; all PEM.
type Files struct {
	Cert string
	Key  string
	CA   string
}

// Ring holds the newest valid keys of some files. Files that can't be read or don't fit
// together, as in the middle of a replacement, leave the keys held in force.
type Ring struct {
	files Files
	now   func() time.Time

	mu     sync.Mutex
	cert   *tls.Certificate
	ca     *x509.CertPool
	stamp  stamp
	looked time.Time
	fault  error // of the last look
}

// stamp tells whether any of the files was replaced.
type stamp struct {
	cert, key, ca time.Time
}

// Option changes a Ring under construction.
type Option func(*Ring)

// WithClock sets the clock.
func WithClock(now func() time.Time) Option {
	return func(r *Ring) { r.now = now }
}

// Load reads the files; later replacements are followed within a second.
func Load(f Files, opts ...Option) (*Ring, error) {
	r := &Ring{files: f, now: time.Now}
	for _, o := range opts {
		o(r)
	}
	r.looked = r.now()
	return r, r.read()
}

// Server returns the settings of a listener that lets in daemons only.
func (r *Ring) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			cert, ca := r.newest()
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{*cert},
				ClientAuth:   tls.RequireAndVerifyClientCert,
				ClientCAs:    ca,
			}, nil
		},
	}
}

// Client returns the settings of one connection to another daemon.
func (r *Ring) Client() *tls.Config {
	cert, ca := r.newest()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{*cert},
		RootCAs:      ca,
		ServerName:   PeerName,
	}
}

// Fault returns why the files' newest state isn't in force, or nil.
func (r *Ring) Fault() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.fault
}

// Expires returns when the certificate in force expires.
func (r *Ring) Expires() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cert.Leaf.NotAfter
}

// newest looks at the files now and then and returns what is in force.
func (r *Ring) newest() (*tls.Certificate, *x509.CertPool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now := r.now(); now.Sub(r.looked) >= lookEvery {
		r.looked = now
		r.fault = r.readLocked()
	}
	return r.cert, r.ca
}

func (r *Ring) read() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.readLocked()
}

// readLocked reads the files if any was replaced; the lock is held.
func (r *Ring) readLocked() error {
	s, err := r.files.stamp()
	if err != nil || s == r.stamp {
		return err
	}
	cert, err := tls.LoadX509KeyPair(r.files.Cert, r.files.Key)
	if err != nil {
		return fault.Wrap(fault.Invalid, err, "read certificate %s with key %s", r.files.Cert, r.files.Key)
	}
	pem, err := os.ReadFile(r.files.CA)
	if err != nil {
		return fault.Wrap(fault.Invalid, err, "read authorities")
	}
	ca := x509.NewCertPool()
	if !ca.AppendCertsFromPEM(pem) {
		return fault.New(fault.Invalid, "%s has no certificate", r.files.CA)
	}
	r.cert, r.ca, r.stamp = &cert, ca, s
	return nil
}

func (f Files) stamp() (stamp, error) {
	var s stamp
	for _, one := range []struct {
		name string
		at   *time.Time
	}{{f.Cert, &s.cert}, {f.Key, &s.key}, {f.CA, &s.ca}} {
		info, err := os.Stat(one.name)
		if err != nil {
			return s, fault.Wrap(fault.Invalid, err, "look at keys")
		}
		*one.at = info.ModTime()
	}
	return s, nil
}
