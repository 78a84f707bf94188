package logs

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"gypsumlead/fault"
)

// maxLineBytes is the length of the longest line that Trace accepts.
const maxLineBytes = 1 << 20

// commonFields are on every line and are not printed among a line's details.
var commonFields = []string{"level", "ts", "msg", "instance"}

// traceLine is one formatted line of a trace.
type traceLine struct {
	at   time.Time
	text string
}

// Trace writes the log lines that mention a job, or any other name, in the order of their times. In each line, text
// before the JSON object is ignored; lines without an object are skipped.
func Trace(in io.Reader, out io.Writer, name string) error {
	lines := bufio.NewScanner(in)
	lines.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	var trace []traceLine
	for lines.Scan() {
		line := lines.Text()
		start := strings.IndexByte(line, '{')
		if start < 0 || !strings.Contains(line, name) {
			continue
		}
		var fields map[string]any
		if json.Unmarshal([]byte(line[start:]), &fields) != nil || !mentions(fields, name) {
			continue
		}
		trace = append(trace, formatLine(fields))
	}
	if err := lines.Err(); err != nil {
		return fault.Wrap(fault.Invalid, err, "read the log")
	}
	slices.SortStableFunc(trace, func(a, b traceLine) int { return a.at.Compare(b.at) })
	for _, entry := range trace {
		if _, err := fmt.Fprintln(out, entry.text); err != nil {
			return fault.Wrap(fault.Internal, err, "write the trace")
		}
	}
	return nil
}

// mentions reports whether a field is equal to the name, or is the name with a suffix after a dot, as the names of a
// job's tasks are.
func mentions(fields map[string]any, name string) bool {
	for _, v := range fields {
		text, ok := v.(string)
		if ok && (text == name || strings.HasPrefix(text, name+".")) {
			return true
		}
	}
	return false
}

// formatLine formats one log line for a trace.
func formatLine(fields map[string]any) traceLine {
	var at time.Time
	if ts, ok := fields["ts"].(float64); ok {
		at = time.UnixMicro(int64(ts * 1e6)).UTC()
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%s %v: %v", at.Format("15:04:05.000"), fields["instance"], fields["msg"])
	var keys []string
	for k := range fields {
		if !slices.Contains(commonFields, k) {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	for _, k := range keys {
		if v := fields[k]; v != "" && v != float64(0) {
			fmt.Fprintf(&b, " %s=%v", k, v)
		}
	}
	return traceLine{at, b.String()}
}
