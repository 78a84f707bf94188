package wire

import (
	"encoding/json"

	"gypsumlead/backing"
	"gypsumlead/fault"
)

// Paths of the table service.
const (
	PathRead   = "/table/read"
	PathScan   = "/table/scan"
	PathCommit = "/table/commit"
)

// Read asks for rows by their keys.
type Read struct {
	Keys []string `json:"keys"`
}

// Scan asks for rows by a prefix of their keys.
type Scan struct {
	Prefix string `json:"prefix"`
	After  string `json:"after,omitempty"`
	Limit  int    `json:"limit"`
}

// Rows answers Read and Scan.
type Rows struct {
	Rows []backing.Row `json:"rows"`
}

// Commit asks for a transaction.
type Commit struct {
	Ops []Op `json:"ops"`
}

// Do says which step of a transaction an Op is.
type Do string

// The steps of a transaction.
const (
	DoCheck  Do = "check"
	DoPut    Do = "put"
	DoDelete Do = "delete"
)

// Op is the wire form of backing.Op.
type Op struct {
	Do      Do              `json:"do"`
	Key     string          `json:"key"`
	Version int64           `json:"version"`
	Value   json.RawMessage `json:"value,omitempty"`
}

// None is an answer or a question without content.
type None struct{}

// EncodeTx returns the wire form of tx.
func EncodeTx(tx backing.Tx) Commit {
	c := Commit{Ops: make([]Op, 0, len(tx.Ops))}
	for _, op := range tx.Ops {
		switch o := op.(type) {
		case backing.Check:
			c.Ops = append(c.Ops, Op{Do: DoCheck, Key: o.Key, Version: o.Version})
		case backing.Put:
			c.Ops = append(c.Ops, Op{Do: DoPut, Key: o.Key, Version: o.IfVersion, Value: o.Value})
		case backing.Delete:
			c.Ops = append(c.Ops, Op{Do: DoDelete, Key: o.Key, Version: o.IfVersion})
		}
	}
	return c
}

// DecodeTx returns the transaction that c asks for.
func DecodeTx(c Commit) (backing.Tx, error) {
	tx := backing.Tx{Ops: make([]backing.Op, 0, len(c.Ops))}
	for _, o := range c.Ops {
		switch o.Do {
		case DoCheck:
			tx.Ops = append(tx.Ops, backing.Check{Key: o.Key, Version: o.Version})
		case DoPut:
			tx.Ops = append(tx.Ops, backing.Put{Key: o.Key, IfVersion: o.Version, Value: o.Value})
		case DoDelete:
			tx.Ops = append(tx.Ops, backing.Delete{Key: o.Key, IfVersion: o.Version})
		default:
			return backing.Tx{}, fault.New(fault.Invalid, "a transaction has no step %q", o.Do)
		}
	}
	return tx, nil
}
