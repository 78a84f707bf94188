package client

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"

	"gypsumlead/backing"
	"gypsumlead/backing/standin"
)

const benchRows = 10_000

// benchTable returns the stand-in's table, directly or over HTTP on loopback.
func benchTable(b *testing.B, remote bool) backing.Table {
	b.Helper()
	p := standin.New()
	for i := range benchRows {
		op := backing.Put{Key: fmt.Sprintf("row/%06d", i), Value: []byte(`{"epoch":1,"holder":"entry-1","nonce":"0123456789abcdef","seq":1,"life":6000}`)}
		require.NoError(b, p.Table.Commit(b.Context(), backing.Tx{Ops: []backing.Op{op}}))
	}
	if !remote {
		return p.Table
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	srv := &http.Server{Handler: p.Handler()}
	go func() { _ = srv.Serve(l) }()
	b.Cleanup(func() { _ = srv.Close() })
	c := New(netip.MustParseAddrPort(l.Addr().String()))
	b.Cleanup(c.Close)
	return c.Table
}

func BenchmarkTable(b *testing.B) {
	for _, where := range []string{"direct", "http"} {
		for _, op := range []struct {
			name string
			do   func(ctx context.Context, t backing.Table, n int64) error
		}{
			{"read1", func(ctx context.Context, t backing.Table, n int64) error { return readRows(ctx, t, n, 1) }},
			{"read10", func(ctx context.Context, t backing.Table, n int64) error { return readRows(ctx, t, n, 10) }},
			{"scan100", func(ctx context.Context, t backing.Table, n int64) error {
				_, err := t.Scan(ctx, "row/", key(n), 100)
				return err
			}},
			{"insert1", func(ctx context.Context, t backing.Table, n int64) error { return insert(ctx, t, n, 1) }},
			{"insert10", func(ctx context.Context, t backing.Table, n int64) error { return insert(ctx, t, n, 10) }},
		} {
			b.Run(where+"/"+op.name, func(b *testing.B) {
				t := benchTable(b, where == "http")
				b.ReportAllocs()
				n := int64(0)
				for b.Loop() {
					n++
					if err := op.do(b.Context(), t, n); err != nil {
						b.Fatal(err)
					}
				}
			})
		}
	}
}

func key(n int64) string { return fmt.Sprintf("row/%06d", n%benchRows) }

func readRows(ctx context.Context, t backing.Table, n, rows int64) error {
	keys := make([]string, 0, rows)
	for i := range rows {
		keys = append(keys, key(n+i))
	}
	_, err := t.Read(ctx, keys...)
	return err
}

func insert(ctx context.Context, t backing.Table, n, rows int64) error {
	tx := backing.Tx{}
	for i := range rows {
		tx.Ops = append(tx.Ops, backing.Put{Key: fmt.Sprintf("new/%d/%d", n, i), Value: []byte(`{"a":1}`)})
	}
	return t.Commit(ctx, tx)
}
