package fault

import (
	"errors"
	"time"

	"github.com/samber/oops"
)

// Error is an error of a known kind; its text says what was attempted, and on what.
type Error struct {
	Kind Kind
	err  error
}

// Error returns the text of the cause.
func (e *Error) Error() string {
	return e.err.Error()
}

// Unwrap returns the cause, which carries the stack trace of the place where it arose.
func (e *Error) Unwrap() error {
	return e.err
}

// New returns an error of kind k with formatted text.
func New(k Kind, format string, args ...any) error {
	return &Error{Kind: k, err: oops.Code(k.String()).Errorf(format, args...)}
}

// Wrap returns err as an error of kind k with formatted context before its text, or nil if err is nil.
func Wrap(k Kind, err error, format string, args ...any) error {
	if err == nil {
		return nil
	}
	return &Error{Kind: k, err: oops.Code(k.String()).Wrapf(err, format, args...)}
}

// KindOf returns the outermost kind in err's chain, or Internal if there is none.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return Internal
}

// Is reports whether the outermost kind in err's chain is k.
func Is(err error, k Kind) bool {
	return err != nil && KindOf(err) == k
}

// RetryAfter returns how long to wait before retrying what failed with err, or zero if a retry won't help.
func RetryAfter(err error) time.Duration { return AnswerTo(KindOf(err)).Retry }
