package runner

import (
	"net/http"

	"gypsumlead/fault"
)

// HeaderExchange carries the exchange's number to the upstream. One that sends it back in its
// answers is safe against its own late and surplus answers, also where they come so late that
// the next request was sent already.
const HeaderExchange = "Gypsumlead-Exchange"

// checkNumber refuses an answer to another exchange, and one without a number on a connection
// whose answers have carried theirs.
func (c *channel) checkNumber(resp *http.Response, number string) error {
	got := resp.Header.Get(HeaderExchange)
	if got == "" && !c.echoes {
		return nil
	}
	if got != number {
		return fault.New(fault.Broken, "the answer is to exchange %q, not %s", got, number)
	}
	c.echoes = true
	return nil
}
