package wave

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"gypsumlead/backing"
	"gypsumlead/pool"
	"gypsumlead/record"
)

func TestOneTransactionStaysSmall(t *testing.T) {
	const members = 100
	var s pool.State
	var list []backing.Instance
	p := Part{Wave: "w", Pool: "a"}
	var events []Event
	for i := range members {
		id := fmt.Sprintf("i%03d", i)
		s.Members = append(s.Members, pool.Member{ID: id, Rack: fmt.Sprint(i / 4)})
		list = append(list, backing.Instance{ID: id, Boot: "1", State: backing.StateLive, Seen: start})
		p.Items = append(p.Items, Item{Instance: id, State: Queued})
		events = append(events, Quieted{id})
	}
	v := pool.NewView(list, start, proofLag)
	s, takes, err := p.Pick(record.Wave{}, record.Budget{Out: members}, s, v, start)
	require.NoError(t, err)
	require.Len(t, takes, takeLimit)
	require.Len(t, s.Takes, takeLimit)
	require.Len(t, joinEvents(nil, events), eventLimit)
	require.Len(t, joinEvents([]Event{Came{"i000"}, Joined{"j"}}, events), eventLimit+1)
}
