package keys

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"io"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// authority signs certificates.
type authority struct {
	t    *testing.T
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) *authority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	tmpl := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, &key.PublicKey, key)
	require.NoError(t, err)
	cert, err := x509.ParseCertificate(der)
	require.NoError(t, err)
	return &authority{t, cert, key}
}

// issue writes a certificate for name, its key and the authorities to trust into dir.
func (a *authority) issue(dir, name string, serial int64, trusted ...*authority) Files {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(a.t, err)
	tmpl := &x509.Certificate{
		SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: name}, DNSNames: []string{name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, a.cert, &key.PublicKey, a.key)
	require.NoError(a.t, err)
	raw, err := x509.MarshalPKCS8PrivateKey(key)
	require.NoError(a.t, err)
	f := Files{Cert: filepath.Join(dir, "cert.pem"), Key: filepath.Join(dir, "key.pem"), CA: filepath.Join(dir, "ca.pem")}
	var ca []byte
	for _, one := range append(trusted, a) {
		ca = append(ca, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: one.cert.Raw})...)
	}
	for file, data := range map[string][]byte{
		f.Cert: pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}),
		f.Key:  pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: raw}),
		f.CA:   ca,
	} {
		require.NoError(a.t, os.WriteFile(file, data, 0o600))
		require.NoError(a.t, os.Chtimes(file, time.Time{}, time.Unix(serial, 0)))
	}
	return f
}

// meet tells whether a client and a server let each other in, and the server's serial number.
func meet(t *testing.T, server, client *tls.Config) (int64, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	done := make(chan error, 1)
	go func() {
		a, err := l.Accept()
		if err != nil {
			done <- err
			return
		}
		defer a.Close()
		_, err = tls.Server(a, server).Write([]byte("x"))
		done <- err
	}()
	b, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	c := tls.Client(b, client)
	_, err = io.ReadFull(c, make([]byte, 1))
	b.Close()
	if serverErr := <-done; err == nil {
		err = serverErr
	}
	if err != nil {
		return 0, err
	}
	return c.ConnectionState().PeerCertificates[0].SerialNumber.Int64(), nil
}

func TestOnlyDaemonsMeet(t *testing.T) {
	ours, theirs := newAuthority(t), newAuthority(t)
	load := func(f Files) *Ring {
		r, err := Load(f)
		require.NoError(t, err)
		return r
	}
	good := load(ours.issue(t.TempDir(), PeerName, 10))
	for _, tc := range []struct {
		name   string
		server *tls.Config
		client *tls.Config
		ok     bool
	}{
		{"two daemons", good.Server(), load(ours.issue(t.TempDir(), PeerName, 11)).Client(), true},
		{"a client of another authority", good.Server(), load(theirs.issue(t.TempDir(), PeerName, 12, ours)).Client(), false},
		{"a server of another authority", load(theirs.issue(t.TempDir(), PeerName, 13, ours)).Server(), good.Client(), false},
		{"a server that is no daemon", load(ours.issue(t.TempDir(), "else", 14)).Server(), good.Client(), false},
		{"a client without a certificate", good.Server(), &tls.Config{RootCAs: good.Client().RootCAs, ServerName: PeerName}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			_, err := meet(t, tc.server, tc.client)
			require.Equal(t, tc.ok, err == nil, "%v", err)
		})
	}
}

func TestReplacedFilesAreFollowed(t *testing.T) {
	old, fresh := newAuthority(t), newAuthority(t)
	dir := t.TempDir()
	now := time.Now()
	server, err := Load(old.issue(dir, PeerName, 1, fresh), WithClock(func() time.Time { return now }))
	require.NoError(t, err)
	conf := server.Server()
	client, err := Load(fresh.issue(t.TempDir(), PeerName, 50, old))
	require.NoError(t, err)
	serial, err := meet(t, conf, client.Client())
	require.NoError(t, err)
	require.EqualValues(t, 1, serial)

	// Half of a replacement leaves the old keys in force and is told.
	require.NoError(t, os.WriteFile(filepath.Join(dir, "key.pem"), []byte("half"), 0o600))
	now = now.Add(time.Minute)
	serial, err = meet(t, conf, client.Client())
	require.NoError(t, err)
	require.EqualValues(t, 1, serial)
	require.Error(t, server.Fault())

	// A whole one is in force on the listener that was there before.
	fresh.issue(dir, PeerName, 2, old)
	now = now.Add(time.Minute)
	serial, err = meet(t, conf, client.Client())
	require.NoError(t, err)
	require.EqualValues(t, 2, serial)
	require.NoError(t, server.Fault())
}

func TestLoadRefusesWhatIsNotThere(t *testing.T) {
	_, err := Load(Files{Cert: "none", Key: "none", CA: "none"})
	require.Error(t, err)
}
