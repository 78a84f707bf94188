package configcheck

import (
	"fmt"

	"gypsumlead/platform"
	"gypsumlead/work"
)

// Severity is how serious a finding is.
type Severity string

// Severities of findings.
const (
	Error  Severity = "error"  // the daemons ignore the configuration, or an entry can never be used
	Note   Severity = "note"   // valid, but probably not what is wanted
	Change Severity = "change" // a difference from the version in force
)

// Finding is one fault, note or difference.
type Finding struct {
	Severity Severity `json:"severity"`
	Path     string   `json:"path"`             // the entry, for example "workspace w1: cap.cpu"
	Problem  string   `json:"problem"`          // contains no key
	Advice   string   `json:"advice,omitempty"` // what to do
}

// Bounds are what limits outside the configuration allow.
type Bounds struct {
	Row     int64          // most bytes that a stored job can take
	Machine work.Resources // smallest machine; zero if it isn't known
}

// Refused returns the finding for a configuration that the decoder refuses.
func Refused(err error) Finding {
	return Finding{Error, "configuration", err.Error(), "Correct it: daemons would keep the previous version."}
}

// RefusedCurrent returns the finding for a current configuration that the decoder refuses.
func RefusedCurrent(err error) Finding {
	return Finding{Error, "current configuration", err.Error(), "It can't be in force: compare with the last version that is valid."}
}

// Errors returns the number of errors among findings.
func Errors(findings []Finding) int {
	n := 0
	for _, f := range findings {
		if f.Severity == Error {
			n++
		}
	}
	return n
}

// routePath returns the path of a route or of its field.
func routePath(i int, r platform.Route, field string) string {
	return listPath("routes", i, r.Queue.Name, field)
}

// servicePath returns the path of a service or of its field.
func servicePath(i int, s platform.Service, field string) string {
	return listPath("services", i, s.Name, field)
}

func listPath(list string, i int, name, field string) string {
	path := fmt.Sprintf("%s[%d]", list, i)
	if name != "" {
		path += " " + name
	}
	return withField(path, field)
}

// workspacePath names a workspace by its name, as the decoded list has another order than the file.
func workspacePath(name, field string) string { return withField("workspace "+name, field) }

func withField(path, field string) string {
	if field == "" {
		return path
	}
	return path + ": " + field
}
