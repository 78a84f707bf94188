//go:build review

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"
)

// callerTimeout is how long clients wait for an answer, X-Gypsumlead-Deadline-Ms.
const callerTimeout = 3 * time.Second

// clientJob is a job that a client hands in.
type clientJob struct {
	id         string
	service    string
	body       []byte
	tasks      int
	sentAt     time.Time
	acceptedAt time.Time // zero until a try was answered with 2xx
	tries      int
}

// clients hands in jobs and asks for them.
type clients struct {
	site *site
	http *http.Client
	mu   sync.Mutex
	jobs []*clientJob
	wg   sync.WaitGroup
}

func newClients(s *site) *clients {
	return &clients{site: s, http: &http.Client{}}
}

// call sends one request to a daemon and returns the status, 0 without an answer.
func (c *clients) call(method string, d *daemonProcess, path string, body []byte) (int, []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
	defer cancel()
	return c.callWithin(ctx, method, d, path, body)
}

// callWithin is call for a client that leaves when ctx ends.
func (c *clients) callWithin(ctx context.Context, method string, d *daemonProcess, path string, body []byte) (int, []byte) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+d.callers.String()+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	req.Host = "jobs.example"
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Gypsumlead-Deadline-Ms", "3000")
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, data
}

// submit hands a job in, with up to four repeats at other daemons after no answer, a 502 or a 504.
func (c *clients) submit(job *clientJob, first int) {
	c.mu.Lock()
	c.jobs = append(c.jobs, job)
	c.mu.Unlock()
	job.sentAt = time.Now()
	for try := range 5 {
		d := c.site.daemons[(first+try)%len(c.site.daemons)]
		status, _ := c.call(http.MethodPost, d, "/"+job.service+"/"+job.id, job.body)
		c.site.record.log("POST %s at %s: %d", job.id, d.name, status)
		c.mu.Lock()
		job.tries++
		if status/100 == 2 {
			job.acceptedAt = time.Now()
		}
		c.mu.Unlock()
		if status != 0 && status != http.StatusBadGateway && status != http.StatusGatewayTimeout {
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// state asks for a job, at each daemon until one answers.
func (c *clients) state(job *clientJob, first int) string {
	for try := range len(c.site.daemons) {
		d := c.site.daemons[(first+try)%len(c.site.daemons)]
		status, data := c.call(http.MethodGet, d, "/"+job.service+"/"+job.id, nil)
		var body struct {
			State string `json:"State"`
		}
		_ = json.Unmarshal(data, &body)
		c.site.record.log("GET %s at %s: %d %s", job.id, d.name, status, body.State)
		switch {
		case status == http.StatusOK:
			return body.State
		case status == http.StatusGone:
			return "410"
		}
	}
	return "no answer"
}

// accepted returns the jobs that were answered with 2xx.
func (c *clients) accepted() []*clientJob {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []*clientJob
	for _, job := range c.jobs {
		if !job.acceptedAt.IsZero() {
			list = append(list, job)
		}
	}
	return list
}
