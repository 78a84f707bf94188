package api

import (
	"errors"
	"time"

	"github.com/go-faster/jx"
	"github.com/ogen-go/ogen/ogenerrors"

	"gypsumlead/api/oas"
	"gypsumlead/audit"
	"gypsumlead/fault"
	"gypsumlead/record"
)

func recordOf(e record.Envelope) oas.Record {
	return oas.Record{
		Kind:    string(e.Kind),
		Name:    e.Name,
		Schema:  e.Schema,
		Version: e.Version,
		Body:    oas.Body(jx.Raw(e.Body)),
	}
}

func entryOf(e audit.Entry) oas.Entry {
	out := oas.Entry{ID: e.ID, At: e.At.UTC().Format(time.RFC3339Nano), Actor: e.Actor, Act: e.Act, Why: e.Why}
	if e.Refused != "" {
		out.Refused = oas.NewOptString(e.Refused)
	}
	if e.Version > 0 {
		out.Version = oas.NewOptInt64(e.Version)
	}
	for _, in := range e.Inputs {
		out.Inputs = append(out.Inputs, oas.EntryInputsItem{Name: in.Name, Value: in.Value})
	}
	return out
}

// answerOf turns any error of the handlers or of the generated server into its answer.
func answerOf(err error) *oas.FaultStatusCodeWithHeaders {
	err = classify(err)
	b := fault.BodyOf(err)
	out := &oas.FaultStatusCodeWithHeaders{
		StatusCode: fault.AnswerTo(fault.KindOf(err)).Status,
		Response:   oas.Fault{Kind: b.Kind, Outcome: string(b.Outcome), Text: b.Text},
	}
	if b.Retry > 0 {
		out.Response.Retry = oas.NewOptInt64(b.Retry)
		out.RetryAfter = oas.NewOptInt(int(b.Retry))
	}
	return out
}

// classify gives the generated server's own errors a kind of the closed list.
func classify(err error) error {
	var f *fault.Error
	if errors.As(err, &f) {
		return err
	}
	var security *ogenerrors.SecurityError
	if errors.As(err, &security) {
		return fault.Wrap(fault.Unauthorized, err, "a token of the settings is needed")
	}
	var params *ogenerrors.DecodeParamsError
	var body *ogenerrors.DecodeRequestError
	if errors.As(err, &params) || errors.As(err, &body) {
		return fault.Wrap(fault.Invalid, err, "read request")
	}
	return fault.Wrap(fault.Internal, err, "operators' interface")
}
