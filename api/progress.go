package api

import (
	"context"
	"encoding/json"

	"gypsumlead/api/oas"
	"gypsumlead/fault"
	"gypsumlead/job"
	"gypsumlead/record"
	"gypsumlead/wave"
)

// GetWaveProgress tells how far a wave is with each instance.
func (h *Handler) GetWaveProgress(ctx context.Context, p oas.GetWaveProgressParams) (*oas.WaveProgress, error) {
	s, err := wave.ReadStatus(ctx, h.table, p.Name)
	if err != nil {
		return nil, err
	}
	_, inForce := h.state.Get(wave.RecordKey(p.Name))
	if !inForce && len(s.Parts) == 0 {
		return nil, fault.New(fault.Missing, "there is no wave %s", p.Name)
	}
	out := &oas.WaveProgress{Name: p.Name, Done: len(s.Parts) > 0, Parts: []oas.WaveProgressPartsItem{}}
	if s.Stop != nil {
		out.Stop = oas.NewOptString(s.Stop.Why)
	}
	for _, part := range s.Parts {
		out.Left += part.Left()
		out.Done = out.Done && !part.Ended.IsZero()
		out.Parts = append(out.Parts, partOf(part))
	}
	return out, nil
}

func partOf(p wave.Part) oas.WaveProgressPartsItem {
	out := oas.WaveProgressPartsItem{Pool: p.Pool, Why: p.Why, Items: []oas.WaveProgressPartsItemItemsItem{}}
	for _, it := range p.Items {
		out.Items = append(out.Items, oas.WaveProgressPartsItemItemsItem{
			Instance: it.Instance,
			State:    string(it.State),
			Since:    it.Since,
			Why:      it.Why,
		})
	}
	return out
}

// GetJobProgress tells where a job stands.
func (h *Handler) GetJobProgress(ctx context.Context, p oas.GetJobProgressParams) (*oas.JobProgress, error) {
	e, ok := h.state.Get(record.Key{Kind: record.KindJob, Name: p.Name})
	if !ok {
		return nil, fault.New(fault.Missing, "there is no job %s", p.Name)
	}
	var rec record.Job
	if err := record.Decode(e, &rec); err != nil {
		return nil, err
	}
	out := &oas.JobProgress{Name: p.Name, Pool: rec.Pool, Phase: string(job.Open), Why: "not looked at yet", Count: rec.Count}
	key := job.HeadKey(rec.Pool, p.Name)
	rows, err := h.table.Read(ctx, key)
	if err != nil || rows[0].Version == 0 {
		return out, err
	}
	var j job.Job
	if err := json.Unmarshal(rows[0].Value, &j); err != nil {
		return nil, fault.Wrap(fault.Internal, err, "decode table row %s", key)
	}
	out.Phase, out.Why, out.Done, out.Ended = string(j.Phase), j.Why, j.Done, j.Ended
	return out, nil
}
