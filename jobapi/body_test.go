package jobapi

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"

	"gypsumlead/admission"
)

// Guards against buffers that take more than the bytes that arrived call for.
func TestBodyBufferGrowsWithWhatArrives(t *testing.T) {
	const limit = 256 << 10
	for _, scenario := range []struct {
		name       string
		body       int
		size       int64 // as announced
		mostHeld   int64
		wholeIsOne bool // all bytes in one read
	}{
		{"known size", limit, limit, limit + firstBodyBuffer, true},
		{"known size, byte by byte", limit, limit, limit + firstBodyBuffer, false},
		{"unknown size", limit, -1, limit + firstBodyBuffer, true},
		{"stops short of a large size", 5000, limit, 8192, false},
		{"small", 300, 300, 300 + firstBodyBuffer, true},
		{"empty", 0, 0, firstBodyBuffer, true},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			budget := admission.NewBudget(1 << 30)
			held := budget.Begin(func() {})
			content := strings.Repeat("x", scenario.body)
			var r io.Reader = strings.NewReader(content)
			if !scenario.wholeIsOne {
				r = iotest.OneByteReader(r)
			}
			body, err := readGranted(r, scenario.size, limit, held)
			require.NoError(t, err)
			require.True(t, bytes.Equal([]byte(content), body))
			require.LessOrEqual(t, budget.Used(), scenario.mostHeld)
		})
	}
}

// Guards against jobs of many short steps, which take far more memory than the budget counts for their bodies.
func TestBudgetCountsDecodedSteps(t *testing.T) {
	s := newSite(t)
	budget := admission.NewBudget(100 << 10)
	body := `{"JobSteps":[` + strings.Repeat(`{"Count":1},`, 499) + `{"Count":1}]}`
	r := httptest.NewRequest(http.MethodPost, "/", strings.NewReader(body))
	held := budget.Begin(func() {})
	_, err := s.handler.readBody(httptest.NewRecorder(), r, held, 256<<10)
	require.ErrorIs(t, err, admission.ErrEvicted, "%d bytes of the budget are used", budget.Used())
}
