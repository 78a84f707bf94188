package audit

import (
	"fmt"
	"strings"
)

// explainTime is the form of an entry's time.
const explainTime = "2006-01-02T15:04:05.000Z07:00"

// Explain returns the entries as text: when, by whom, what, on which record version, refused or
// not, why, and from which inputs.
func Explain(es []Entry) string {
	var b strings.Builder
	for _, e := range es {
		explainOne(&b, e)
	}
	return b.String()
}

func explainOne(b *strings.Builder, e Entry) {
	fmt.Fprintf(b, "%s  %s by %s", e.At.UTC().Format(explainTime), e.Act, e.Actor)
	if e.Version > 0 {
		fmt.Fprintf(b, " on version %d", e.Version)
	}
	if e.Refused != "" {
		fmt.Fprintf(b, ": REFUSED (%s)", e.Refused)
	}
	b.WriteByte('\n')
	about := make([]string, 0, len(e.Subjects))
	for _, s := range e.Subjects {
		about = append(about, s.Kind+" "+s.Name)
	}
	explainLine(b, "about", strings.Join(about, ", "))
	explainLine(b, "why", e.Why)
	inputs := make([]string, 0, len(e.Inputs))
	for _, i := range e.Inputs {
		inputs = append(inputs, i.Name+"="+i.Value)
	}
	explainLine(b, "from", strings.Join(inputs, " "))
	explainLine(b, "id", e.ID)
}

// explainLine writes one indented line, or nothing where there is nothing to say; a line break in
// the text can't pass for another entry.
func explainLine(b *strings.Builder, name, text string) {
	if text != "" {
		fmt.Fprintf(b, "    %-6s%s\n", name, strings.ReplaceAll(text, "\n", "\n          "))
	}
}
