package backing

import (
	"context"
	"encoding/json"
)

// Row is one row of the table service; Version 0 means that the row doesn't exist.
type Row struct {
	Key     string          `json:"key"`
	Version int64           `json:"version"`
	Value   json.RawMessage `json:"value,omitempty"`
}

// Op is one step of a transaction: Check, Put or Delete.
type Op interface{ op() }

// Check demands that the row has this version; 0 demands that it doesn't exist.
type Check struct {
	Key     string
	Version int64
}

// Put writes the row if it has the version IfVersion; 0 inserts a row that must not exist.
type Put struct {
	Key       string
	IfVersion int64
	Value     json.RawMessage
}

// Delete removes the row if it has the version IfVersion.
type Delete struct {
	Key       string
	IfVersion int64
}

func (Check) op()  {}
func (Put) op()    {}
func (Delete) op() {}

// KeyOf returns the key of the row that op speaks of.
func KeyOf(op Op) string {
	switch o := op.(type) {
	case Check:
		return o.Key
	case Put:
		return o.Key
	case Delete:
		return o.Key
	}
	return ""
}

// Tx is a transaction: all of its steps take effect, or none does.
type Tx struct {
	Ops []Op
}

// Table is the transactional table service. An error of kind fault.Conflict means that a
// condition didn't hold and nothing was written; fault.StoreDown means that it is unknown
// whether the transaction took effect.
type Table interface {
	// Read returns one row a key, in the order of the keys; a missing row has Version 0.
	Read(ctx context.Context, keys ...string) ([]Row, error)
	// Scan returns at most limit rows whose keys start with prefix and sort after the key after.
	Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit runs the transaction; a Put raises the row's version by one.
	Commit(ctx context.Context, tx Tx) error
}

// Objects is the object store; a written object replaces the one of the same name whole.
type Objects interface {
	// Get returns the object's bytes, or an error of kind fault.Missing.
	Get(ctx context.Context, name string) ([]byte, error)
	// Put stores the bytes under name.
	Put(ctx context.Context, name string, data []byte) error
	// List returns the names that start with prefix, sorted.
	List(ctx context.Context, prefix string) ([]string, error)
}
