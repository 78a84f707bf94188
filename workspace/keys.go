package workspace

import (
	"net/http"
	"strings"
	"time"
)

// Reason is why a request is refused because of its key.
type Reason string

// Reasons of refusals; they are values of a metric.
const (
	Missing   Reason = "missing"   // no Authorization header
	Malformed Reason = "malformed" // not one Authorization header of the form "Bearer KEY"
	Unknown   Reason = "unknown"   // the key belongs to no workspace
	Stale     Reason = "stale"     // the copy of the configuration is too old to check keys against
)

const scheme = "Bearer"

// KeyOf returns the key in a request's header, or the reason why there is none.
func KeyOf(header http.Header) (key string, refused Reason) {
	values := header.Values("Authorization")
	if len(values) == 0 {
		return "", Missing
	}
	got, key, ok := strings.Cut(values[0], " ")
	key = strings.TrimLeft(key, " ")
	if len(values) > 1 || !ok || key == "" || !strings.EqualFold(got, scheme) {
		return "", Malformed
	}
	return key, ""
}

// Identify returns the name of the workspace that a request's key belongs to, or the reason why there is none.
func (d *Directory) Identify(header http.Header) (name string, refused Reason) {
	key, refused := KeyOf(header)
	if refused != "" {
		return "", refused
	}
	name, ok := d.Lookup(key)
	if !ok {
		return "", Unknown
	}
	return name, ""
}

// MayServe reports whether keys may be checked against a copy of the configuration that the store confirmed this long ago.
// If not strict, they always may: an outage of the store doesn't stop callers. If strict, keys withdrawn longer ago than
// the bound must not be accepted, and the copy may lack their withdrawal.
func MayServe(age time.Duration, strict bool, bound time.Duration) bool {
	return !strict || age <= bound
}
