package entry

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestHTTP10CallersGetWholeAnswersOnly: an HTTP/1.0 caller takes the connection's end for the
// answer's end where there is no length, so that a part would look whole.
func TestHTTP10CallersGetWholeAnswersOnly(t *testing.T) {
	size := 0
	url := serveTCP(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, strings.Repeat("x", size/2))
		w.(http.Flusher).Flush() // no length is declared
		_, _ = io.WriteString(w, strings.Repeat("x", size-size/2))
	}))
	for _, tc := range []struct {
		size   int
		status int
	}{{1000, http.StatusOK}, {bufferDefault, http.StatusOK}, {2 * bufferDefault, http.StatusBadGateway}} {
		t.Run(fmt.Sprint(tc.size), func(t *testing.T) {
			size = tc.size
			c, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
			require.NoError(t, err)
			defer c.Close()
			_, err = io.WriteString(c, "GET /texts/a HTTP/1.0\r\n\r\n")
			require.NoError(t, err)
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			require.NoError(t, err)
			defer resp.Body.Close()
			require.Equal(t, tc.status, resp.StatusCode)
			if tc.status == http.StatusOK {
				require.EqualValues(t, tc.size, resp.ContentLength)
			}
		})
	}
}
