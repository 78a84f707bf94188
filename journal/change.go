package journal

import (
	"fmt"
	"time"

	"gypsumlead/record"
)

// Change is one accepted change of the configuration.
type Change struct {
	Seq     int64             `json:"seq"` // 1 for the first; no number is left out
	ID      string            `json:"id"`  // chosen by whoever asked, so that asking again is harmless
	Digest  uint64            `json:"digest"`
	Actor   string            `json:"actor"`
	Why     string            `json:"why,omitempty"`
	At      time.Time         `json:"at"`
	Records []record.Envelope `json:"records"`
}

// Head is the row that orders all changes: every change raises Seq by one.
type Head struct {
	Seq int64 `json:"seq"`
	Low int64 `json:"low"` // oldest change that is still in the log; older ones are in a snapshot
}

// Table keys of the journal.
const (
	keyHead      = "journal/head"
	prefixLog    = "journal/log/"
	prefixID     = "journal/id/"
	prefixRecord = "record/"
)

func keyLog(seq int64) string {
	return fmt.Sprintf("%s%016d", prefixLog, seq)
}

func keyID(id string) string {
	return prefixID + id
}

// RecordKey is the table key of the row that holds the newest envelope of k.
func RecordKey(k record.Key) string {
	return prefixRecord + k.String()
}
