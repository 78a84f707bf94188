package standin

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"gypsumlead/backing"
	"gypsumlead/backing/wire"
	"gypsumlead/fault"
)

// FuzzHandler posts any message to any path: the answer is a message or a fault that the table of
// kinds knows, and a row that isn't part of an accepted commit stays as it was.
func FuzzHandler(f *testing.F) {
	f.Fuzz(func(t *testing.T, path string, body []byte) {
		if len(path) == 0 || path[0] != '/' {
			return
		}
		req, err := http.NewRequest(http.MethodPost, "http://platform", bytes.NewReader(body))
		require.NoError(t, err)
		req.URL.Path = path
		p := New()
		p.PutWorker(backing.Worker{Instance: backing.Instance{ID: "w1"}})
		require.NoError(t, p.Table.Commit(t.Context(), backing.Tx{Ops: []backing.Op{put("a", 0, "1")}}))
		w := httptest.NewRecorder()
		p.Handler().ServeHTTP(w, req)
		if w.Code != http.StatusOK {
			requireFault(t, w)
		} else {
			require.True(t, json.Valid(w.Body.Bytes()))
		}
		if path == wire.PathCommit && w.Code == http.StatusOK {
			return
		}
		row := p.Table.shards[shardOf("a")].get("a")
		require.Equal(t, backing.Row{Key: "a", Version: 1, Value: json.RawMessage("1")}, row)
	})
}

// requireFault demands an answer of net/http's own, or one from the table of kinds.
func requireFault(t *testing.T, w *httptest.ResponseRecorder) {
	t.Helper()
	if w.Header().Get(fault.HeaderKind) == "" {
		require.Contains(t, []int{http.StatusNotFound, http.StatusMethodNotAllowed, http.StatusMovedPermanently, http.StatusTemporaryRedirect}, w.Code)
		return
	}
	var b fault.Body
	require.NoError(t, json.Unmarshal(w.Body.Bytes(), &b))
	require.Equal(t, w.Header().Get(fault.HeaderKind), b.Kind)
	require.NotEqual(t, "internal", b.Kind)
}
