package journal

import (
	"github.com/cespare/xxhash/v2"

	"gypsumlead/record"
)

func hash(k record.Key) uint64 {
	return xxhash.Sum64String(k.String())
}

// Digest returns a digest of what was asked for, by which a repeated change ID is told from a reused one.
func Digest(parts ...[]byte) uint64 {
	d := xxhash.New()
	for _, p := range parts {
		// Writes to a digest never fail; the length keeps two splits of the same bytes apart.
		_, _ = d.Write([]byte{byte(len(p) >> 24), byte(len(p) >> 16), byte(len(p) >> 8), byte(len(p))})
		_, _ = d.Write(p)
	}
	return d.Sum64()
}
