package cli

import (
	"encoding/json"
	"io"

	"gypsumlead/api/oas"
)

// answer is what a reading verb prints: as JSON for programs, or for people.
type answer struct {
	json   json.Marshaler
	people func(out io.Writer) error
}

// read runs a verb that asks one thing and prints it.
func (e *env) read(args []string, least, most int, ask func(c *oas.Client, rest []string) (answer, error)) error {
	fs := e.flags()
	r := addRemote(fs)
	rest, err := parse(fs, args, least, most)
	if err != nil {
		return err
	}
	c, err := r.client()
	if err != nil {
		return err
	}
	a, err := ask(c, rest)
	if err != nil {
		return r.answered(err)
	}
	if *r.json {
		return printJSON(e.out, a.json)
	}
	return a.people(e.out)
}
