package api

import (
	"context"
	"encoding/json"
	"strconv"

	"gypsumlead/api/oas"
	"gypsumlead/audit"
	"gypsumlead/fault"
	"gypsumlead/journal"
	"gypsumlead/record"
)

// PutRecord makes or changes a record.
func (h *Handler) PutRecord(ctx context.Context, req *oas.Draft, p oas.PutRecordParams) (*oas.Record, error) {
	key := record.Key{Kind: record.Kind(p.Kind), Name: p.Name}
	if err := refuseOwned(key.Kind); err != nil {
		return nil, err
	}
	c, err := h.accept(ctx, journal.Proposal{
		ID:      p.ChangeID,
		Digest:  digest("put", key, p.Version, req.Body),
		Actor:   actor(ctx),
		Why:     p.Why.Or(""),
		Records: []record.Key{key},
		Decide: func(rows journal.Rows) (journal.Decision, error) {
			return h.decidePut(ctx, rows, key, p.Version, req)
		},
	})
	if err != nil {
		return nil, h.refused(ctx, subjectOf(key), p.ChangeID, p.Why.Or(""), err)
	}
	for _, e := range c.Records {
		if e.Key() == key {
			r := recordOf(e)
			return &r, nil
		}
	}
	return nil, fault.New(fault.Conflict, "change %s was accepted as number %d, but its record is no longer in the log", c.ID, c.Seq)
}

// DeleteRecord deletes a record.
func (h *Handler) DeleteRecord(ctx context.Context, p oas.DeleteRecordParams) (*oas.Accepted, error) {
	key := record.Key{Kind: record.Kind(p.Kind), Name: p.Name}
	if err := refuseOwned(key.Kind); err != nil {
		return nil, err
	}
	c, err := h.accept(ctx, journal.Proposal{
		ID:      p.ChangeID,
		Digest:  digest("delete", key, p.Version, nil),
		Actor:   actor(ctx),
		Why:     p.Why.Or(""),
		Records: []record.Key{key},
		Decide: func(rows journal.Rows) (journal.Decision, error) {
			return h.decideDelete(rows, key, p.Version)
		},
	})
	if err != nil {
		return nil, h.refused(ctx, subjectOf(key), p.ChangeID, p.Why.Or(""), err)
	}
	return &oas.Accepted{Seq: c.Seq, ID: c.ID}, nil
}

// MoveInstance puts an instance into a pool.
func (h *Handler) MoveInstance(ctx context.Context, req *oas.MoveInstanceReq, p oas.MoveInstanceParams) (*oas.Accepted, error) {
	c, err := h.accept(ctx, h.move(p.ChangeID, actor(ctx), p.Why.Or(""), p.Name, req.From.Or(""), req.Pool))
	if err != nil {
		about := audit.Subject{Kind: "instance", Name: p.Name}
		return nil, h.refused(ctx, about, p.ChangeID, p.Why.Or(""), err)
	}
	return &oas.Accepted{Seq: c.Seq, ID: c.ID}, nil
}

// accept decides on the newest configuration and brings what was accepted into force here.
func (h *Handler) accept(ctx context.Context, p journal.Proposal) (journal.Change, error) {
	decide := p.Decide
	p.Decide = func(rows journal.Rows) (journal.Decision, error) {
		if rows.Seq() != h.state.Seq() {
			if err := h.config.CatchUp(ctx); err != nil {
				return journal.Decision{}, err
			}
		}
		if err := rows.Current(h.state); err != nil {
			return journal.Decision{}, err
		}
		return decide(rows)
	}
	c, err := h.writer.Accept(ctx, p)
	if err != nil {
		return c, err
	}
	h.config.Accepted(c)
	return c, nil
}

func (h *Handler) decidePut(ctx context.Context, rows journal.Rows, key record.Key, version int64, req *oas.Draft) (journal.Decision, error) {
	old, live, err := rows.Envelope(key)
	if err != nil {
		return journal.Decision{}, err
	}
	if err := journal.CheckVersion(key, old, live, version); err != nil {
		return journal.Decision{}, err
	}
	if key.Kind == record.KindWave && old.Gone {
		return journal.Decision{}, fault.New(fault.Conflict, "there was a wave %s before, and its progress is kept: take another name", key.Name)
	}
	draft := record.Envelope{Kind: key.Kind, Name: key.Name, Schema: req.Schema, Body: json.RawMessage(req.Body)}
	e, r, err := record.Accept(old, draft)
	if err != nil {
		return journal.Decision{}, err
	}
	if err := h.checkReferences(ctx, r); err != nil {
		return journal.Decision{}, err
	}
	facts := audit.Facts("schema", e.Schema, "body", string(e.Body))
	if live {
		facts = append(facts, audit.Facts("before", string(old.Body))...)
	}
	return journal.Decision{Edits: []record.Envelope{e}, Audit: audit.Entry{Act: "put", Inputs: facts}}, nil
}

func (h *Handler) decideDelete(rows journal.Rows, key record.Key, version int64) (journal.Decision, error) {
	old, _, err := rows.Envelope(key)
	if err != nil {
		return journal.Decision{}, err
	}
	e, err := journal.DeleteOn(rows, key, version)
	if err != nil {
		return journal.Decision{}, err
	}
	if err := h.checkUnused(key); err != nil {
		return journal.Decision{}, err
	}
	facts := audit.Facts("before", string(old.Body))
	return journal.Decision{Edits: []record.Envelope{e}, Audit: audit.Entry{Act: "delete", Inputs: facts}}, nil
}

// refused notes in the audit trail that a change was decided against, and returns its error.
func (h *Handler) refused(ctx context.Context, about audit.Subject, id, why string, err error) error {
	k := fault.KindOf(err)
	if k == fault.StoreDown || k == fault.Overload || k == fault.Broken {
		return err // nothing was decided
	}
	entry := audit.Entry{
		ID:       id,
		Actor:    actor(ctx),
		Act:      "refuse",
		Why:      why,
		Refused:  k.String(),
		Subjects: []audit.Subject{about},
		Inputs:   audit.Facts("fault", err.Error()),
	}
	if noteErr := h.trail.Refuse(ctx, entry); noteErr != nil {
		// The refusal stands without its note, and the operator hears both.
		return fault.Wrap(k, err, "not noted in the audit trail (%v)", noteErr)
	}
	return err
}

func subjectOf(k record.Key) audit.Subject {
	return audit.Subject{Kind: string(k.Kind), Name: k.Name}
}

// refuseOwned keeps operators from writing what only the system's own transactions may write.
func refuseOwned(k record.Kind) error {
	switch k {
	case record.KindMember:
		return fault.New(fault.Invalid, "an instance's pool is changed by a move")
	case record.KindDrain:
		return fault.New(fault.Invalid, "an instance is drained by a wave")
	}
	return nil
}

func digest(act string, key record.Key, version int64, body []byte) uint64 {
	return journal.Digest([]byte(act), []byte(key.String()), strconv.AppendInt(nil, version, 10), body)
}
