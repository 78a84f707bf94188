package standin

import (
	"context"
	"slices"
	"strings"
	"sync"

	"gypsumlead/fault"
)

const objectLimit = 64 << 20 // bytes

// Objects is the stand-in's object store.
type Objects struct {
	gate *gate

	mu   sync.RWMutex
	data map[string][]byte
}

func newObjects(g *gate) *Objects {
	return &Objects{gate: g, data: map[string][]byte{}}
}

// Get returns a copy of the object's bytes.
func (o *Objects) Get(ctx context.Context, name string) ([]byte, error) {
	var data []byte
	err := o.gate.read(ctx, "get object "+name, func() error {
		o.mu.RLock()
		defer o.mu.RUnlock()
		d, ok := o.data[name]
		if !ok {
			return fault.New(fault.Missing, "there is no object %s", name)
		}
		data = slices.Clone(d)
		return nil
	})
	if err != nil {
		return nil, err
	}
	return data, nil
}

// Put stores a copy of data under name.
func (o *Objects) Put(ctx context.Context, name string, data []byte) error {
	if name == "" {
		return fault.New(fault.Invalid, "an object needs a name")
	}
	if len(data) > objectLimit {
		return fault.New(fault.TooLarge, "object %s takes %d bytes at most, not %d", name, objectLimit, len(data))
	}
	return o.gate.write(ctx, "put object "+name, func() error {
		o.mu.Lock()
		defer o.mu.Unlock()
		o.data[name] = slices.Clone(data)
		return nil
	})
}

// List returns the sorted names that start with prefix.
func (o *Objects) List(ctx context.Context, prefix string) ([]string, error) {
	var names []string
	err := o.gate.read(ctx, "list objects "+prefix, func() error {
		o.mu.RLock()
		defer o.mu.RUnlock()
		for n := range o.data {
			if strings.HasPrefix(n, prefix) {
				names = append(names, n)
			}
		}
		return nil
	})
	if err != nil {
		return nil, err
	}
	slices.Sort(names)
	return names, nil
}
