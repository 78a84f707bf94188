package jobtrial

import (
	"fmt"
	"time"

	"gypsumlead/backing"
)

const gib = 1 << 30

// Scale is how large a trial is.
type Scale struct {
	Name    string
	Pools   int
	Workers int // in all
	Size    backing.Size
	Teams   int // in all
	Span    time.Duration
}

// Scales of today's two users and of the target.
func scales(size string) ([]Scale, error) {
	switch size {
	case "today":
		return []Scale{
			{Name: "peachtree", Pools: 1, Workers: 50, Size: backing.Size{Cores: 64, Memory: 256 * gib}, Teams: 5, Span: time.Hour},
			{Name: "tarjeta", Pools: 1, Workers: 50, Size: backing.Size{Cores: 16, Memory: 64 * gib}, Teams: 5, Span: time.Hour},
		}, nil
	case "target":
		return []Scale{
			{Name: "target", Pools: 51, Workers: 4200, Size: backing.Size{Cores: 64, Memory: 256 * gib}, Teams: 230, Span: 4 * time.Minute},
		}, nil
	}
	return nil, fmt.Errorf("size %q is neither today nor target", size)
}

const rackSize = 4 // workers of a rack

// split returns the scale of one of the pools.
func (s Scale) split(pool int) Scale {
	one := s
	one.Workers = s.Workers*(pool+1)/s.Pools - s.Workers*pool/s.Pools
	one.Teams = max(s.Teams*(pool+1)/s.Pools-s.Teams*pool/s.Pools, 1)
	one.Pools = 1
	return one
}
