package e2e

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	patience = 60 * time.Second // for anything that must happen in the end
	step     = 20 * time.Millisecond
	secret   = "end-to-end-secret"
)

// programs are the built commands.
type programs struct {
	gypsumlead string
	standin    string
}

var build = sync.OnceValues(func() (programs, error) {
	dir, err := os.MkdirTemp("", "gypsumlead-e2e")
	if err != nil {
		return programs{}, err
	}
	out, err := exec.Command("go", "build", "-o", dir, "../cmd/gypsumlead", "../cmd/standin").CombinedOutput()
	if err != nil {
		return programs{}, fmt.Errorf("%w: %s", err, out)
	}
	return programs{filepath.Join(dir, "gypsumlead"), filepath.Join(dir, "standin")}, nil
})

func built(t *testing.T) programs {
	t.Helper()
	p, err := build()
	require.NoError(t, err)
	return p
}

// process is one started command.
type process struct {
	t    *testing.T
	cmd  *exec.Cmd
	errs *bytes.Buffer
}

func start(t *testing.T, name string, args ...string) *process {
	t.Helper()
	p := &process{t: t, cmd: exec.Command(name, args...), errs: &bytes.Buffer{}}
	p.cmd.Stderr = p.errs
	require.NoError(t, p.cmd.Start())
	t.Cleanup(func() {
		if p.cmd.ProcessState == nil {
			_ = p.cmd.Process.Kill()
			_ = p.cmd.Wait()
		}
		if t.Failed() {
			t.Logf("%s %v:\n%s", name, args, p.errs)
		}
	})
	return p
}

// term asks the process to stop and returns its exit code.
func (p *process) term() int {
	p.t.Helper()
	require.NoError(p.t, p.cmd.Process.Signal(syscall.SIGTERM))
	_ = p.cmd.Wait() // the exit code tells
	return p.cmd.ProcessState.ExitCode()
}

// freeAddr returns a loopback address that was free a moment ago.
func freeAddr(t *testing.T) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	return netip.MustParseAddrPort(l.Addr().String())
}

// eventually waits until ok, however slow the machine is.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(step) {
		if ok() {
			return
		}
	}
	t.Fatalf("%s: not within %v", what, patience)
}

// writeJSON writes v to a file of the test and returns its path.
func writeJSON(t *testing.T, name string, v any) string {
	t.Helper()
	data, err := json.Marshal(v)
	require.NoError(t, err)
	path := filepath.Join(t.TempDir(), name)
	require.NoError(t, os.WriteFile(path, data, 0o600))
	return path
}
