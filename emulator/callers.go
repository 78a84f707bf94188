package emulator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"gypsumlead/platform"
	"gypsumlead/standin"
	"gypsumlead/work"
)

// Behaviour of the emulated callers.
const (
	maxTries       = 4 // requests to submit or cancel a job
	requestTimeout = 3 * time.Second
	retryDelay     = 300 * time.Millisecond
	pollInterval   = 400 * time.Millisecond
	countInterval  = 500 * time.Millisecond // between requests for the numbers of pending jobs
	readyInterval  = 100 * time.Millisecond // between readiness checks of a daemon that has started
)

// submission is a job as its caller sees it.
type submission struct {
	service     string
	workspace   int // whose key the caller has
	job         work.Job
	submittedAt time.Time
	accepted    bool
	state       work.State
	latency     time.Duration // from submission until the caller sees a final state
}

// JobShape describes the jobs that NewBatchJob draws.
type JobShape struct {
	MaxSteps       int     // a job has 1 to MaxSteps steps, each after the previous one
	MaxWidth       int     // a step has 1 to MaxWidth tasks
	MeanMS         int64   // mean run time of a task in milliseconds
	CPU            int64   // millicores per task
	FailingShare   float64 // share of the jobs whose tasks always fail
	Checkpointing  bool
	CrashesRunners bool  // each task crashes its runner
	SlowPercent    int64 // of the runs, which are slow; if set, copies are allowed
}

// wireStep is a step of a wireJob.
type wireStep struct {
	Count         int    `json:"Count"`
	CPU           int64  `json:"Cpu"`
	MemMb         int64  `json:"MemMb"`
	EstimateMs    int64  `json:"EstimateMs,omitempty"`
	After         []int  `json:"After,omitempty"`
	Checkpointing bool   `json:"Checkpointing,omitempty"`
	LongRunning   bool   `json:"LongRunning,omitempty"`
	MayMiss       *int   `json:"MayMiss,omitempty"`
	MaxPerServer  int    `json:"MaxPerServer,omitempty"`
	Speculative   bool   `json:"Speculative,omitempty"`
	Affinity      string `json:"Affinity,omitempty"`
	Gang          bool   `json:"Gang,omitempty"`
}

// wireJob is a job in the platform's JSON format.
type wireJob struct {
	Spec     string     `json:"Spec"`
	JobSteps []wireStep `json:"JobSteps"`
}

// newRand returns a new random source seeded from the cluster's.
func (c *Cluster) newRand() *rand.Rand {
	return rand.New(rand.NewPCG(c.rand.Uint64(), c.rand.Uint64()))
}

// NewBatchJob draws a job of the shape. It returns the job as callers submit it and as the Checker needs it.
func (c *Cluster) NewBatchJob(shape JobShape) (wireJob, work.Job) {
	var wire wireJob
	var job work.Job
	var spec standin.Spec
	fails := c.rand.Float64() < shape.FailingShare
	for i := range 1 + c.rand.IntN(shape.MaxSteps) {
		ms := shape.MeanMS/2 + c.rand.Int64N(shape.MeanMS)
		step := wireStep{Count: 1 + c.rand.IntN(shape.MaxWidth), CPU: shape.CPU, MemMb: 100, EstimateMs: ms * (60 + c.rand.Int64N(90)) / 100, Checkpointing: shape.Checkpointing, Speculative: shape.SlowPercent > 0}
		if i > 0 {
			step.After = []int{i - 1}
		}
		wire.JobSteps = append(wire.JobSteps, step)
		job.Steps = append(job.Steps, work.Step{Count: step.Count, After: step.After, Checkpointing: shape.Checkpointing, Speculative: step.Speculative})
		spec.Steps = append(spec.Steps, standin.SpecStep{RunMS: ms, CPU: step.CPU, Mem: step.MemMb, AlwaysFails: fails, CrashesRunner: shape.CrashesRunners, SlowPercent: shape.SlowPercent, Checkpointing: shape.Checkpointing})
	}
	wire.Spec = spec.Text()
	job.Spec = wire.Spec
	return wire, job
}

// NewLongRunningJob returns a job whose tasks run until it is cancelled, in the forms of NewBatchJob. The daemons' own
// orders may take down at most mayMiss of its tasks at the same time. cpu is in millicores per task.
func (c *Cluster) NewLongRunningJob(count, mayMiss int, cpu int64) (wireJob, work.Job) {
	return newLongRunningJob(count, mayMiss, standin.SpecStep{CPU: cpu, Mem: 100, LongRunning: true})
}

// newLongRunningJob returns a job of one step that runs until it is cancelled, whose tasks do what the spec says.
func newLongRunningJob(count, mayMiss int, tasks standin.SpecStep) (wireJob, work.Job) {
	spec := standin.Spec{Steps: []standin.SpecStep{tasks}}
	wire := wireJob{Spec: spec.Text(), JobSteps: []wireStep{{Count: count, CPU: tasks.CPU, MemMb: tasks.Mem, LongRunning: true, MayMiss: &mayMiss, MaxPerServer: 2}}}
	return wire, work.Job{Spec: wire.Spec, Steps: []work.Step{{Count: count, LongRunning: true, HasMaxUnavailable: true, MaxUnavailable: mayMiss}}}
}

// Submit submits a job and polls it until it ends, in a new goroutine.
func (c *Cluster) Submit(service string, wire wireJob, job work.Job) work.ID {
	id, sub := c.register(service, job)
	c.submitInBackground(id, sub, wire)
	return id
}

// submitInBackground submits a registered job and polls it until it ends, in a new goroutine.
func (c *Cluster) submitInBackground(id work.ID, sub *submission, wire wireJob) {
	rng := c.newRand()
	body := encodeJob(wire)
	c.wg.Go(func() {
		if c.submitWithRetry(id, sub, body, rng) {
			c.pollUntilFinal(id, sub, rng)
		}
	})
}

// encodeJob returns the body of a request that submits a job.
func encodeJob(wire wireJob) []byte {
	body, err := json.Marshal(wire)
	if err != nil {
		panic(err) // values made by the emulator always encode
	}
	return body
}

// register gives a new job an ID and a workspace, in turn, and tells the Checker of it.
func (c *Cluster) register(service string, job work.Job) (work.ID, *submission) {
	c.mu.Lock()
	defer c.mu.Unlock()
	workspace := 0
	if c.size.Workspaces > 0 {
		workspace = int(c.nextID) % c.size.Workspaces
	}
	return c.registerAs(workspace, service, job)
}

// registerAs registers a job of a workspace; the caller holds c.mu.
func (c *Cluster) registerAs(workspace int, service string, job work.Job) (work.ID, *submission) {
	c.nextID++
	id := work.ID(fmt.Sprintf("%016x", c.nextID))
	if c.size.Workspaces > 0 {
		job.Workspace = WorkspaceName(workspace)
	}
	sub := &submission{service: service, workspace: workspace, job: job, submittedAt: time.Now(), state: work.Queued}
	c.jobs[id] = sub
	c.Checker.Submitted(id, job, maxAttempts)
	return id, sub
}

// submitWithRetry submits a job until it is accepted, at most maxTries times. It reports whether the job was accepted.
func (c *Cluster) submitWithRetry(id work.ID, sub *submission, body []byte, rng *rand.Rand) bool {
	for range maxTries {
		status, header, _ := c.request(http.MethodPost, sub.service, string(id), body, rng)
		accepted := status == http.StatusOK
		refused := status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
		c.Checker.SubmitAnswered(id, accepted, refused)
		if accepted {
			c.mu.Lock()
			sub.accepted = true
			c.mu.Unlock()
			return true
		}
		wait := retryDelay
		if seconds, err := strconv.Atoi(header.Get("Retry-After")); err == nil {
			wait = time.Duration(seconds) * time.Second
		}
		if !c.sleep(wait) {
			return false
		}
	}
	return false
}

// submitOnce submits a registered job at one daemon, and tells the Checker of the answer. The caller leaves after patience.
func (c *Cluster) submitOnce(node *daemonNode, service string, id work.ID, body []byte, patience time.Duration) int {
	ctx, cancel := context.WithTimeout(c.ctx, patience)
	defer cancel()
	status, _, _ := c.requestTo(ctx, node, http.MethodPost, service, string(id), body)
	c.Checker.SubmitAnswered(id, status == http.StatusOK, status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable)
	return status
}

// pollUntilFinal polls the state of a job until it is final.
func (c *Cluster) pollUntilFinal(id work.ID, sub *submission, rng *rand.Rand) {
	for c.sleep(pollInterval) {
		status, _, body := c.request(http.MethodGet, sub.service, string(id), nil, rng)
		c.Checker.OwnerAnswered(id, status)
		if status != http.StatusOK {
			continue
		}
		var reply struct {
			State string `json:"State"`
		}
		if json.Unmarshal(body, &reply) != nil {
			continue
		}
		state := work.State(reply.State)
		if state == "completed" {
			state = work.Done
		}
		c.mu.Lock()
		sub.state = state
		if state.Final() {
			sub.latency = time.Since(sub.submittedAt)
		}
		c.mu.Unlock()
		if state.Final() {
			return
		}
	}
}

// Cancel cancels a job, with up to maxTries requests. It reports whether a daemon acknowledged the cancellation.
func (c *Cluster) Cancel(id work.ID) bool {
	c.mu.Lock()
	sub := c.jobs[id]
	rng := c.newRand()
	c.mu.Unlock()
	c.Checker.CancelSent(id)
	for range maxTries {
		status, _, _ := c.request(http.MethodDelete, sub.service, string(id), nil, rng)
		if status == http.StatusOK {
			c.Checker.CancelAcked(id)
			return true
		}
		if !c.sleep(retryDelay) {
			return false
		}
	}
	return false
}

// askCounts asks for the number of each service's pending jobs, at random daemons, until the cluster is closed.
func (c *Cluster) askCounts() {
	rng := c.newRand()
	for c.sleep(countInterval) {
		for i := range c.size.Services {
			c.askCount(c.pickDaemon(rng, ""), serviceName(i))
		}
	}
}

// askCount asks a daemon for the number of a service's pending jobs and has the Checker check the answer. It returns
// false if there is none.
func (c *Cluster) askCount(node *daemonNode, service string) (int, bool) {
	askedAt := time.Now()
	ctx, cancel := context.WithTimeout(c.ctx, requestTimeout)
	defer cancel()
	status, _, body := c.requestTo(ctx, node, http.MethodGet, service, "", nil)
	var reply struct {
		Pending int `json:"Pending"`
	}
	if status != http.StatusOK || json.Unmarshal(body, &reply) != nil {
		return 0, false
	}
	c.mu.Lock()
	var ids []work.ID
	for id, sub := range c.jobs {
		if sub.service == service {
			ids = append(ids, id)
		}
	}
	c.mu.Unlock()
	c.Checker.CountAnswered(ids, askedAt, reply.Pending)
	return reply.Pending, true
}

// request sends one HTTP request to a running daemon. The status is 0 if there is no reply.
func (c *Cluster) request(method, service, id string, body []byte, rng *rand.Rand) (int, http.Header, []byte) {
	ctx, cancel := context.WithTimeout(c.ctx, requestTimeout)
	defer cancel()
	return c.requestTo(ctx, c.pickDaemon(rng, ""), method, service, id, body)
}

// requestTo sends one HTTP request to a daemon, with the key of the job's workspace if the site has workspaces; nil stands
// for none in rotation. The status is 0 if there is no reply before ctx ends.
func (c *Cluster) requestTo(ctx context.Context, node *daemonNode, method, service, id string, body []byte) (int, http.Header, []byte) {
	return c.requestWithKey(ctx, node, c.keyFor(work.ID(id)), method, service, id, body)
}

// requestWithKey is like requestTo, but with a certain key, or none if it is empty.
func (c *Cluster) requestWithKey(ctx context.Context, node *daemonNode, key, method, service, id string, body []byte) (status int, header http.Header, data []byte) {
	if node == nil {
		return 0, http.Header{}, nil
	}
	url := fmt.Sprintf("http://%s/%s/%s", netip.AddrPortFrom(node.addr, portCallers), service, id)
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		panic(err) // addresses made by the emulator are well-formed
	}
	req.Host = "jobs.example"
	req.Header.Set("X-Gypsumlead-Deadline-Ms", strconv.FormatInt(requestTimeout.Milliseconds(), 10))
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
		use := standin.KeyUse{Key: key, Request: c.newRequest(node)}
		defer func() {
			use.Status = status
			if c.checksKeys(service) {
				c.Checker.KeyAnswered(use)
			}
		}()
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, http.Header{}, nil
	}
	defer func() { _ = resp.Body.Close() }() // the body has been read
	data, err = io.ReadAll(resp.Body)
	if err != nil {
		return 0, http.Header{}, nil
	}
	return resp.StatusCode, resp.Header, data
}

// pickDaemon returns a random running daemon that has been ready since its start, other than the one named except, or
// nil if there is none. By the platform's pages a daemon without a configuration, which isn't ready, refuses everything.
// The delay with which a load balancer notices a stopped daemon is not emulated.
func (c *Cluster) pickDaemon(rng *rand.Rand, except string) *daemonNode {
	c.mu.Lock()
	defer c.mu.Unlock()
	var rotation []*daemonNode
	for _, name := range c.Daemons() {
		if node := c.daemons[name]; name != except && node.process != nil && node.process.seenReady {
			rotation = append(rotation, node)
		}
	}
	if len(rotation) == 0 {
		return nil
	}
	return rotation[rng.IntN(len(rotation))]
}

// awaitReady asks a daemon that has started whether it is ready, until it is or has stopped.
func (c *Cluster) awaitReady(node *daemonNode, proc *process) {
	for c.sleep(readyInterval) {
		ready := c.isReady(node)
		c.mu.Lock()
		proc.seenReady = ready
		ended := ready || node.process != proc
		c.mu.Unlock()
		if ended {
			return
		}
	}
}

// isReady asks a daemon whether it is ready.
func (c *Cluster) isReady(node *daemonNode) bool {
	ctx, cancel := context.WithTimeout(c.ctx, readyInterval)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+netip.AddrPortFrom(node.addr, portReady).String()+platform.ReadyPath, nil)
	if err != nil {
		panic(err) // addresses made by the emulator are well-formed
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close() // the body is empty
	return resp.StatusCode == http.StatusOK
}

// sleep waits for d. It returns false if the cluster is closed first.
func (c *Cluster) sleep(d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-c.ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// State returns the last state of a job that its caller saw.
func (c *Cluster) State(id work.ID) work.State {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.jobs[id].state
}

func sorted(list []string) []string {
	slices.Sort(list)
	return list
}
