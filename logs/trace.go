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

// lineMost is the longest line that a trace reads, in bytes.
const lineMost = 1 << 20

// usual are the fields that every line has; the others tell the story.
var usual = []string{"level", "ts", "msg", "instance"}

// found is one line of a trace.
type found struct {
	at   time.Time
	text string
}

// Trace writes the lines of daemons' logs that are about a job, or any other name, in the order of their times.
// Text before the JSON object of a line is passed over, and so are lines without one.
func Trace(in io.Reader, out io.Writer, name string) error {
	sc := bufio.NewScanner(in)
	sc.Buffer(make([]byte, 0, 64<<10), lineMost)
	var list []found
	for sc.Scan() {
		line := sc.Text()
		start := strings.IndexByte(line, '{')
		if start < 0 || !strings.Contains(line, name) {
			continue
		}
		var fields map[string]any
		if json.Unmarshal([]byte(line[start:]), &fields) != nil || !about(fields, name) {
			continue
		}
		list = append(list, tell(fields))
	}
	if err := sc.Err(); err != nil {
		return fault.Wrap(fault.Invalid, err, "read the log")
	}
	slices.SortStableFunc(list, func(a, b found) int { return a.at.Compare(b.at) })
	for _, f := range list {
		if _, err := fmt.Fprintln(out, f.text); err != nil {
			return fault.Wrap(fault.Internal, err, "write the trace")
		}
	}
	return nil
}

// about tells whether a field of the line is the name, or a part of it up to a dot: the tasks of a job.
func about(fields map[string]any, name string) bool {
	for _, v := range fields {
		s, ok := v.(string)
		if ok && (s == name || strings.HasPrefix(s, name+".")) {
			return true
		}
	}
	return false
}

// tell puts one line into words.
func tell(fields map[string]any) found {
	var at time.Time
	if ts, ok := fields["ts"].(float64); ok {
		at = time.UnixMicro(int64(ts * 1e6)).UTC()
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%s %v: %v", at.Format("15:04:05.000"), fields["instance"], fields["msg"])
	var keys []string
	for k := range fields {
		if !slices.Contains(usual, k) {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	for _, k := range keys {
		if v := fields[k]; v != "" && v != float64(0) {
			fmt.Fprintf(&b, " %s=%v", k, v)
		}
	}
	return found{at, b.String()}
}
