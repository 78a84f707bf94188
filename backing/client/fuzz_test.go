package client

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"gypsumlead/backing/wire"
	"gypsumlead/fault"
)

// FuzzAnswer takes any answer to a read: it is taken as rows, as a refusal that goes with its
// status, or as an unknown outcome.
func FuzzAnswer(f *testing.F) {
	f.Fuzz(func(t *testing.T, status int, body []byte) {
		res := &http.Response{StatusCode: status, Body: io.NopCloser(bytes.NewReader(body))}
		var rows wire.Rows
		err := (&conn{}).answer(res, wire.PathRead, &rows)
		if err == nil {
			require.Equal(t, http.StatusOK, status)
			require.True(t, json.Valid(body))
			return
		}
		k := fault.KindOf(err)
		if k == fault.StoreDown {
			return
		}
		require.Contains(t, []fault.Kind{fault.Conflict, fault.Missing, fault.Fenced, fault.Invalid, fault.TooLarge}, k)
		require.Equal(t, fault.AnswerTo(k).Status, status)
		require.NotEqual(t, http.StatusOK, status)
	})
}
