package wave

import (
	"context"
	"encoding/json"
	"strings"

	"gypsumlead/backing"
	"gypsumlead/fault"
)

// Status is a wave over all of its pools, as an operator watches it.
type Status struct {
	Wave  string        `json:"wave"`
	Stop  *Stop         `json:"stop,omitempty"` // the last time that it stopped itself
	Count map[State]int `json:"count"`
	Parts []Part        `json:"parts"`
}

const statusPage = 200 // rows a scan

// ReadStatus reads the progress of a wave in every pool.
func ReadStatus(ctx context.Context, t backing.Table, wave string) (Status, error) {
	s := Status{Wave: wave, Count: map[State]int{}}
	after := ""
	for {
		rows, err := t.Scan(ctx, Prefix(wave), after, statusPage)
		if err != nil {
			return s, err
		}
		for _, r := range rows {
			after = r.Key
			if err := s.add(r); err != nil {
				return s, err
			}
		}
		if len(rows) < statusPage {
			return s, nil
		}
	}
}

func (s *Status) add(r backing.Row) error {
	if r.Key == StopKey(s.Wave) {
		s.Stop = new(Stop)
		return fault.Wrap(fault.Internal, json.Unmarshal(r.Value, s.Stop), "decode table row %s", r.Key)
	}
	if !strings.HasPrefix(r.Key, Prefix(s.Wave)+"part/") {
		return nil
	}
	var p Part
	if err := json.Unmarshal(r.Value, &p); err != nil {
		return fault.Wrap(fault.Internal, err, "decode table row %s", r.Key)
	}
	s.Parts = append(s.Parts, p)
	for _, it := range p.Items {
		s.Count[it.State]++
	}
	return nil
}
