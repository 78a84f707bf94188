package emulator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"gypsumlead/standin"
	"gypsumlead/work"
)

// Behaviour of the callers that try keys.
const (
	keyTryInterval   = 200 * time.Millisecond
	keyRotateEvery   = 25 // tries between two replacements of a key
	contactInterval  = 50 * time.Millisecond
	defaultWeight    = 10
	strangerIDPrefix = 0xffff << 48 // of jobs that must not be accepted
	wrongKey         = "no-configuration-ever-had-this-key"
	keyMark          = "key-" // part of each key that a configuration has
)

// configTenant is a workspace of the configuration in the platform's JSON format.
type configTenant struct {
	Name     string    `json:"Name"`
	APIKeys  []string  `json:"ApiKeys"` // the first one is never withdrawn
	Priority int       `json:"Priority"`
	Weight   float64   `json:"Weight"`
	Cap      configCap `json:"Cap"`
}

// configCap is what a workspace may have running; 0 is no limit.
type configCap struct {
	CPU   int64 `json:"Cpu"`
	MemMb int64 `json:"MemMb"`
	Gpus  int64 `json:"Gpus"`
}

// WorkspaceName returns the name of a workspace, counted from 0.
func WorkspaceName(i int) string { return fmt.Sprintf("w%d", i) }

// callerKey returns the key with which the callers of a workspace submit jobs; it is never withdrawn.
func callerKey(workspace int) string { return keyMark + WorkspaceName(workspace) }

// addWorkspaces adds the workspaces to the configuration, without caps.
func (c *Cluster) addWorkspaces() {
	for i := range c.size.Workspaces {
		name := WorkspaceName(i)
		c.config.Tenants = append(c.config.Tenants, configTenant{Name: name, APIKeys: []string{callerKey(i), "spare-key-" + name}, Weight: defaultWeight})
	}
}

// keys returns the names of the workspaces by key.
func (c *config) keys() map[string]string {
	keys := map[string]string{}
	for _, t := range c.Tenants {
		for _, key := range t.APIKeys {
			keys[key] = t.Name
		}
	}
	return keys
}

// SetCap writes a version of the configuration in which a workspace has a cap; 0 is no limit.
func (c *Cluster) SetCap(workspace int, most work.Resources) {
	c.changeConfig(func(config *config) {
		config.Tenants[workspace].Cap = configCap{CPU: most.CPU, MemMb: most.Mem, Gpus: most.GPU}
	})
}

// SetWeight writes a version of the configuration in which a workspace has a weight.
func (c *Cluster) SetWeight(workspace int, weight float64) {
	c.changeConfig(func(config *config) { config.Tenants[workspace].Weight = weight })
}

// SetPublic writes a version of the configuration in which the route of a service needs a key or none. The answers to its
// callers are no longer checked for their keys.
func (c *Cluster) SetPublic(service string, public bool) {
	c.changeConfig(func(config *config) {
		c.unchecked[service] = struct{}{}
		for i := range config.Routes {
			if config.Routes[i].Service == service {
				config.Routes[i].Public = public
			}
		}
	})
}

// SubmitAs is like Submit, for a workspace, counted from 0.
func (c *Cluster) SubmitAs(workspace int, service string, wire wireJob, job work.Job) work.ID {
	c.mu.Lock()
	id, sub := c.registerAs(workspace, service, job)
	c.mu.Unlock()
	c.submitInBackground(id, sub, wire)
	return id
}

// keyFor returns the key for a request about a job, or about a queue if there is no such job; it is empty if the site has no
// workspaces.
func (c *Cluster) keyFor(id work.ID) string {
	if c.size.Workspaces == 0 {
		return ""
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if sub, ok := c.jobs[id]; ok {
		return callerKey(sub.workspace)
	}
	return callerKey(0)
}

// SpareKey returns the second key of a workspace, which RotateKey replaces.
func (c *Cluster) SpareKey(workspace int) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.config.Tenants[workspace].APIKeys[1]
}

// RotateKey replaces the second key of a workspace.
func (c *Cluster) RotateKey(workspace int) {
	c.changeConfig(func(config *config) {
		c.rotations++
		keys := config.Tenants[workspace].APIKeys
		c.withdrawn = append(c.withdrawn, keys[1])
		config.Tenants[workspace].APIKeys = []string{keys[0], "spare-key-" + WorkspaceName(workspace) + "-" + strconv.Itoa(c.rotations)}
	})
}

// checksKeys reports whether the route of a service has always needed a key.
func (c *Cluster) checksKeys(service string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, unchecked := c.unchecked[service]
	return !unchecked
}

// watchForKeys returns a logger that reports lines with keys as violations.
func (c *Cluster) watchForKeys(log *zap.Logger) *zap.Logger {
	encoder := zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig())
	return zap.New(zapcore.NewTee(log.Core(), zapcore.NewCore(encoder, zapcore.AddSync(keyWatcher{c}), zapcore.DebugLevel)))
}

// keyWatcher receives the lines of daemons' logs.
type keyWatcher struct{ c *Cluster }

// Write reports a line that has a key.
func (w keyWatcher) Write(line []byte) (int, error) {
	if bytes.Contains(line, []byte(keyMark)) || bytes.Contains(line, []byte(wrongKey)) {
		w.c.mu.Lock()
		defer w.c.mu.Unlock()
		w.c.violations = append(w.c.violations, "a key is in the log: "+string(line))
	}
	return len(line), nil
}

// storedKeys returns the keys of the store's rows, other than the operator's, that contain a caller's key.
func (c *Cluster) storedKeys() []string {
	var list []string
	for key, value := range c.Store.Values() {
		if key != "op/config" && (bytes.Contains(value, []byte(keyMark)) || bytes.Contains(value, []byte(wrongKey))) {
			list = append(list, key)
		}
	}
	return list
}

// contactSince returns since when nothing has disturbed a daemon's contact with the store; zero if something does.
func (c *Cluster) contactSince(daemon string) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.contact[daemon]
}

// contactOf is contactSince for the daemon at an address.
func (c *Cluster) contactOf(addr netip.Addr) time.Time {
	for name, node := range c.daemons {
		if node.addr == addr {
			return c.contactSince(name)
		}
	}
	return time.Time{}
}

// watchContact records the daemons' contact with the store until the cluster is closed.
func (c *Cluster) watchContact() {
	for c.sleep(contactInterval) {
		for _, name := range c.Daemons() {
			addr := c.daemons[name].addr
			undisturbed := c.Net.Linked(addr, storeAddr.Addr()) && c.Store.Serves(addr)
			brokenAt := c.Net.BrokenAt(addr)
			c.mu.Lock()
			since := c.contact[name]
			switch {
			case !undisturbed || c.daemons[name].process == nil:
				c.contact[name] = time.Time{}
			case since.IsZero() || since.Before(brokenAt):
				c.contact[name] = time.Now()
			}
			c.mu.Unlock()
		}
	}
}

// tryKeys sends requests with good, wrong, new, withdrawn and other workspaces' keys, and replaces keys, until the cluster is
// closed. The Checker checks the answers.
func (c *Cluster) tryKeys() {
	rng := c.newRand()
	for i := 1; c.sleep(keyTryInterval); i++ {
		if i%keyRotateEvery == 0 {
			c.RotateKey(rng.IntN(c.size.Workspaces))
		}
		node := c.pickDaemon(rng, "")
		c.tryKey(node, c.drawKey(rng), i)
		if c.size.Workspaces > 1 {
			c.tryStranger(node, rng)
		}
	}
}

// drawKey returns a key that no configuration had, one that was withdrawn, or one that is in force.
func (c *Cluster) drawKey(rng *rand.Rand) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch n := len(c.withdrawn); {
	case rng.IntN(3) == 0:
		return wrongKey
	case n > 0 && rng.IntN(2) == 0:
		return c.withdrawn[n-1-rng.IntN(min(n, 2))]
	}
	return c.config.Tenants[rng.IntN(c.size.Workspaces)].APIKeys[1]
}

// tryKey asks a daemon for a count with a key and, if no configuration had the key, submits a job with it.
func (c *Cluster) tryKey(node *daemonNode, key string, number int) {
	ctx, cancel := context.WithTimeout(c.ctx, requestTimeout)
	defer cancel()
	c.requestWithKey(ctx, node, key, http.MethodGet, serviceName(0), "", nil)
	if key == wrongKey && c.checksKeys(serviceName(0)) {
		id := fmt.Sprintf("%016x", uint64(strangerIDPrefix)+uint64(number))
		c.requestWithKey(ctx, node, key, http.MethodPost, serviceName(0), id, smallJob())
	}
}

// tryStranger sends a request about an accepted job with the key of another workspace.
func (c *Cluster) tryStranger(node *daemonNode, rng *rand.Rand) {
	id, sub, ok := c.drawJob(rng)
	if !ok || node == nil {
		return
	}
	key := callerKey((sub.workspace + 1) % c.size.Workspaces)
	method := []string{http.MethodGet, http.MethodDelete, http.MethodPost}[rng.IntN(3)]
	ctx, cancel := context.WithTimeout(c.ctx, requestTimeout)
	defer cancel()
	status, _, _ := c.requestWithKey(ctx, node, key, method, sub.service, string(id), smallJob())
	c.Checker.StrangerAnswered(id, method, node.name, status)
}

// drawJob returns a job that was accepted and has not ended, as far as its caller knows.
func (c *Cluster) drawJob(rng *rand.Rand) (work.ID, *submission, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var ids []work.ID
	for id, sub := range c.jobs {
		if sub.accepted && !sub.state.Final() {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return "", nil, false
	}
	slices.Sort(ids)
	id := ids[rng.IntN(len(ids))]
	return id, c.jobs[id], true
}

// smallSpec returns the spec of a job of one short task.
func smallSpec() standin.Spec {
	return standin.Spec{Steps: []standin.SpecStep{{RunMS: 100, CPU: 100, Mem: 1}}}
}

// smallJob returns the body of a job of one short task.
func smallJob() []byte {
	body, err := json.Marshal(wireJob{Spec: smallSpec().Text(), JobSteps: []wireStep{{Count: 1, CPU: 100, MemMb: 1}}})
	if err != nil {
		panic(err) // values made by the emulator always encode
	}
	return body
}
