package flood

import (
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestPrint(t *testing.T) {
	for _, site := range []string{"peachtree", "tarjeta"} {
		for _, f := range []string{"least", "most", "turns"} {
			for _, d := range []string{"first", "split", "share"} {
				p := Plan{Seed: 1, Site: site, Design: d, Flood: f, Times: 5, Length: 20 * time.Second}
				at := time.Now()
				l, err := p.Try()
				require.NoError(t, err)
				fmt.Fprintf(os.Stderr, "%s %s %s kept %.3f ratio %.2f (%.1fs)\n", site, f, d, l.Kept, l.Ratio, time.Since(at).Seconds())
				for _, k := range l.Kinds {
					fmt.Fprintf(os.Stderr, "    %-20s fl=%v kept %.3f served %.3f p99 %.0f base %.0f x%.2f refused %d/%d asked %d\n", k.Name, k.Floods, k.Kept, k.Served, k.P99, k.Base99, k.Ratio, k.Refused, k.Told, k.Asked)
				}
			}
		}
	}
}
