package sqledger

import (
	"context"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/state/sqlists"
)

// BenchmarkTick measures an idle tick of a keeper that keeps all 64 shards of a data
// centre, and the memory that it needs per workspace.
func BenchmarkTick(b *testing.B) {
	for _, n := range []int{1000, 10000} {
		b.Run(fmt.Sprintf("%d workspaces", n), func(b *testing.B) {
			f := newFleet(b, 1)
			var plans []sqlists.Plan
			for i := range n {
				plans = append(plans, plan(fmt.Sprintf("shop%d", i), 50, 50))
			}
			f.plans(plans...)
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			keeper, _, stop := startPair(b, f)
			defer stop()
			for _, p := range plans {
				if _, err := keeper.Charge(context.Background(), sqid.WorkspaceID(p.Name)); err != nil {
					b.Fatal(err)
				}
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			for b.Loop() {
				keeper.tickAccounts(context.Background(), time.Now())
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "B/workspace")
		})
	}
}
