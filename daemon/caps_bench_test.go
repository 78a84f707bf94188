package daemon

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"gypsumlead/budget"
	"gypsumlead/peer/wire"
	"gypsumlead/work"
)

// BenchmarkCapReport measures one report with its answer, by workspaces that are active in every service, by services, and
// with caps that suffice or bind.
func BenchmarkCapReport(b *testing.B) {
	for _, size := range []struct{ workspaces, services int }{{20, 5}, {20, 51}, {230, 51}, {2000, 51}} {
		for _, binds := range []bool{false, true} {
			b.Run(fmt.Sprintf("%d/%d/%t", size.workspaces, size.services, binds), func(b *testing.B) {
				benchmarkCapReport(b, size.workspaces, size.services, binds)
			})
		}
	}
}

func benchmarkCapReport(b *testing.B, workspaces, services int, binds bool) {
	limit, usage := work.Resources{CPU: 21_699_458, Mem: 22_742_285}, budget.Usage{Used: work.Resources{CPU: 48_000, Mem: 98_000}, Arrivals: 1.23}
	if binds {
		limit.CPU = 48_000 * int64(services)
		usage.Waiting, usage.Next = work.Resources{CPU: 480_000, Mem: 480_000}, work.Resources{CPU: 6000, Mem: 6000}
	}
	caps, used := map[string]work.Resources{}, map[string]budget.Usage{}
	for i := range workspaces {
		name := fmt.Sprintf("cugo%04d", i)
		caps[name], used[name] = limit, usage
	}
	now := time.Now()
	g, holdings := budget.NewGranter(now, 1, time.Minute, 0, 0), make([]*budget.Holding, services)
	g.Configure(caps, nil)
	for i := range holdings {
		holdings[i] = budget.NewHolding(fmt.Sprintf("service-%d", i), 7)
		holdings[i].SetCaps(now, caps)
	}
	var report *wire.Usage
	var answer *wire.Portions
	exchange := func(h *budget.Holding) {
		report = encodeUsage(h.Report(now, "spare", used))
		a, _ := g.Handle(now, decodeUsage(report))
		answer = encodePortions(a, true)
		h.Apply("spare", now, decodePortions(answer))
	}
	for i := range 3 * services {
		exchange(holdings[i%services])
	}
	b.ResetTimer()
	for i := range b.N {
		exchange(holdings[i%services])
	}
	b.ReportMetric(float64(proto.Size(report)), "report-bytes")
	b.ReportMetric(float64(proto.Size(answer)), "answer-bytes")
}
