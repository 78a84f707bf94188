package e2e

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"gypsumlead/backing"
	"gypsumlead/backing/standin"
)

// site is a platform, runners and entries, each a process.
type site struct {
	t        *testing.T
	bin      programs
	platform netip.AddrPort
	entries  []*entryProcess
	runners  []netip.AddrPort
}

// entryProcess is one daemon and its addresses.
type entryProcess struct {
	*process
	id        string
	callers   netip.AddrPort
	operators netip.AddrPort
	peers     netip.AddrPort
}

func newSite(t *testing.T) *site {
	s := &site{t: t, bin: built(t), platform: freeAddr(t)}
	start(t, s.bin.standin, "platform", "-listen", s.platform.String())
	eventually(t, "platform listens", func() bool {
		res, err := http.Get("http://" + s.platform.String() + "/")
		if err == nil {
			res.Body.Close()
		}
		return err == nil
	})
	return s
}

func (s *site) addRunner(id, centre, rack string) {
	addr := freeAddr(s.t)
	start(s.t, s.bin.standin, "runner", "-listen", addr.String(), "-platform", s.platform.String(), "-id", id, "-region", "r", "-centre", centre, "-rack", rack)
	s.runners = append(s.runners, addr)
}

func (s *site) addEntry(id, centre string) *entryProcess {
	e := &entryProcess{id: id, callers: freeAddr(s.t), operators: freeAddr(s.t), peers: freeAddr(s.t)}
	file := writeJSON(s.t, id+".json", map[string]any{
		"instance": id, "region": "r", "centre": centre, "platform": s.platform,
		"listen": map[string]any{"callers": e.callers, "operators": e.operators, "peers": e.peers},
		"tokens": []any{map[string]any{"name": "maria", "secret": secret}},
		"stop":   map[string]any{"wait": "100ms"},
		"peers":  s.seeds(),
		"sync":   map[string]any{"lag": "2s"},
		"duties": map[string]any{"life": "2s", "step": "100ms"},
	})
	e.process = start(s.t, s.bin.gypsumlead, "serve", "-settings", file)
	s.post(standin.PathInstance, backing.Instance{
		ID: id, Boot: id + "-1", Role: backing.RoleEntry, Addr: e.callers, Peer: e.peers,
		Region: "r", Centre: centre, Rack: "e", State: backing.StateLive,
	})
	s.entries = append(s.entries, e)
	return e
}

// seeds are the daemons started so far, as the settings of the next one name them.
func (s *site) seeds() []any {
	out := []any{}
	for _, e := range s.entries {
		out = append(out, map[string]any{"addr": e.peers, "centre": "c"})
	}
	return out
}

// setFaults sets what is wrong with all of the platform's services.
func (s *site) setFaults(f standin.Faults) {
	s.t.Helper()
	s.post(standin.PathFaults, standin.SetFaults{Faults: f})
}

// basics makes a pool with a service and puts the runners into it.
func (s *site) basics(at *entryProcess, runners ...string) {
	s.t.Helper()
	pool := writeJSON(s.t, "pool.json", map[string]any{"schema": 2, "body": map[string]any{"budget": map[string]any{"out": 1}}})
	service := writeJSON(s.t, "service.json", map[string]any{"schema": 1, "body": map[string]any{
		"pool": "texts", "works": []any{map[string]any{"name": "closure", "urgency": 1, "mean": 10}},
	}})
	eventually(s.t, "the daemon answers operators", func() bool {
		_, code := s.operator(at, "status")
		return code == 0
	})
	s.must(at, "put", "pool", "texts", "-file", pool, "-why", "first pool")
	s.must(at, "put", "service", "notices", "-file", service)
	eventually(s.t, "the lagging list has the runners", func() bool {
		out := s.must(at, "instances")
		for _, r := range runners {
			if !strings.Contains(out, r) {
				return false
			}
		}
		return true
	})
	for _, r := range runners {
		s.must(at, "move", r, "-to", "texts")
	}
}

// serves waits until a daemon serves a request whole, and returns its ID.
func (s *site) serves(at *entryProcess) string {
	s.t.Helper()
	id := "request-" + at.id
	eventually(s.t, at.id+" serves", func() bool {
		id += "x"
		code, _, body := s.ask(at, "/notices/send", id)
		return code == http.StatusOK && body == string(standin.AnswerBody(id, len(body)))
	})
	return id
}

// post asks the platform's stand-in for something.
func (s *site) post(path string, v any) {
	s.t.Helper()
	data, err := json.Marshal(v)
	require.NoError(s.t, err)
	res, err := http.Post("http://"+s.platform.String()+path, "application/json", bytes.NewReader(data))
	require.NoError(s.t, err)
	defer res.Body.Close()
	require.Equal(s.t, http.StatusOK, res.StatusCode)
}

// operator runs a verb against a daemon and returns its output and exit code.
func (s *site) operator(at *entryProcess, args ...string) (string, int) {
	s.t.Helper()
	cmd := exec.Command(s.bin.gypsumlead, append(args, "-at", at.operators.String())...)
	cmd.Env = append(os.Environ(), "GYPSUMLEAD_TOKEN="+secret)
	out, _ := cmd.CombinedOutput() // the exit code tells
	return string(out), cmd.ProcessState.ExitCode()
}

// must runs a verb that has to succeed.
func (s *site) must(at *entryProcess, args ...string) string {
	s.t.Helper()
	out, code := s.operator(at, args...)
	require.Zero(s.t, code, out)
	return out
}

// ask sends a caller's request and returns the answer's status, fault and body; 0 while nobody listens.
func (s *site) ask(at *entryProcess, path, id string) (int, string, string) {
	s.t.Helper()
	req, err := http.NewRequest(http.MethodPost, "http://"+at.callers.String()+path, strings.NewReader("body of "+id))
	require.NoError(s.t, err)
	req.Header.Set(standin.HeaderID, id)
	res, err := http.DefaultClient.Do(req)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return 0, "", "" // the daemon doesn't listen yet
	}
	require.NoError(s.t, err)
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	require.NoError(s.t, err)
	return res.StatusCode, res.Header.Get("Gypsumlead-Fault"), string(body)
}

// started counts over all runners how often a request was started.
func (s *site) started(id string) int {
	s.t.Helper()
	n := 0
	for _, addr := range s.runners {
		res, err := http.Get("http://" + addr.String() + standin.PathLedger)
		require.NoError(s.t, err)
		var a standin.Account
		require.NoError(s.t, json.NewDecoder(res.Body).Decode(&a))
		res.Body.Close()
		n += a.Of(id).Started
	}
	return n
}
