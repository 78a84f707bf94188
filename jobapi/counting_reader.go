package jobapi

import (
	"io"
	"sync/atomic"
)

// countingReader adds the number of bytes read to a sum.
type countingReader struct {
	io.Reader
	sum *atomic.Int64
	n   int64 // its own share of sum
}

// Read reads from the underlying reader.
func (r *countingReader) Read(b []byte) (int, error) {
	n, err := r.Reader.Read(b)
	r.n += int64(n)
	r.sum.Add(int64(n))
	return n, err
}
