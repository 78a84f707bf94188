package runner

import (
	"gypsumlead/backing"
)

// Target is one upstream instance as the configuration and the platform's list describe it.
type Target struct {
	Instance backing.Instance
	Pool     string
	Leaving  bool // gets no new work; sticky for the instance's boot
	Slots    int  // most exchanges of this entry at a time; 0 means the fleet's bound, less than 0 none
}

// identity tells one boot of an instance from another.
type identity struct {
	id   string
	boot string
}

func (t Target) identity() identity {
	return identity{id: t.Instance.ID, boot: t.Instance.Boot}
}
