package jobapi

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumlead/leader"
)

// Guards against a verdict that no answer is written for, which net/http would answer with 200, and against one that claims more than is
// known.
func TestAnswersToVerdicts(t *testing.T) {
	for _, tc := range []struct {
		name                 string
		result               leader.Result
		submit, read, cancel int
	}{
		{"accepted", leader.Result{}, 200, 200, 200},
		{"no capacity", leader.Result{Verdict: leader.Refused, Full: true, Retry: time.Second}, 429, 503, 504},
		{"too large", leader.Result{Verdict: leader.Refused}, 413, 503, 504},
		{"unknown", leader.Result{Verdict: leader.Unknown}, 504, 503, 504},
		{"absent", leader.Result{Verdict: leader.Absent}, 504, 410, 410},
		{"another workspace's", leader.Result{Verdict: leader.Taken}, 409, 503, 504},
		{"cancelled before it was stored", leader.Result{Verdict: leader.Withdrawn}, 410, 503, 504},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := newSite(t)
			s.result = tc.result
			s.request(tc.submit, http.MethodPost, keyed, "Bearer k1")
			s.request(tc.read, http.MethodGet, keyed, "Bearer k1")
			s.request(tc.cancel, http.MethodDelete, keyed, "Bearer k1")
		})
	}
	for v := leader.Accepted; v <= leader.Withdrawn; v++ {
		require.NotEmpty(t, verdictLabels[v], "%d", v)
	}
}

// Guards against an answer that an accepted job doesn't exist, because its queue's route is removed and its path begins with another
// queue's prefix.
func TestPathOfARemovedQueueBelowAnother(t *testing.T) {
	s := newSite(t)
	for _, method := range []string{http.MethodPost, http.MethodGet, http.MethodDelete} {
		s.request(http.StatusNotFound, method, "/q/removed/0123456789abcdef", "Bearer k1")
	}
	require.Empty(t, s.callers)
}
