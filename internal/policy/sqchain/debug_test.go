package sqchain

import (
	"fmt"
	"os"
	"sort"
	"strconv"
	"testing"
	"time"
)

func TestDebug(t *testing.T) {
	if os.Getenv("DBG") == "" {
		t.Skip()
	}
	i, _ := strconv.Atoi(os.Getenv("DBG"))
	step, _ := time.ParseDuration(os.Getenv("STEP"))
	till, _ := time.ParseDuration(os.Getenv("TILL"))
	e := experiments[i]
	seed, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	s := newSim(config{policies[len(policies)-1], e}, seed)
	last := counters{}
	var probe func()
	probe = func() {
		n := s.out.counters
		done := 0
		for b := s.at/bucket - step/bucket; b < s.at/bucket; b++ {
			done += s.out.done.good[b]
		}
		fmt.Printf("%5.1f good/s %4.0f waste %.3f adm %d off3 %d", s.at.Seconds(), float64(done)/step.Seconds(),
			1-(n.useful-last.useful).Seconds()/(n.work-last.work).Seconds(), n.admitted-last.admitted, n.offered[3]-last.offered[3])
		last = n
		for _, d := range s.daemons {
			if d.row.ID.Target[1] != '1' && d.row.Service != "d" {
				continue
			}
			l := d.gate.Load(s.now(), "w3")
			fmt.Printf("|%s %d+%d/%d u%d c%.2f b%d", d.row.ID.Target, l.InFlight, l.Queued, l.Limit, l.Usual.Milliseconds(), float64(l.Level)+1-float64(l.All), len(d.waiting))
		}
		fmt.Println()
		if s.at < till {
			s.after(step, probe)
		}
	}
	s.after(4800*time.Millisecond, func() {
		fmt.Println(s.out.refused, s.out.all.part(0, 2*time.Second), s.out.all.part(2*time.Second, 4*time.Second))
 last = s.out.counters; s.after(step, probe) })
	r := s.runUntil(runFor)
	var ks []string
	for k := range r.refused {
		ks = append(ks, k)
	}
	sort.Strings(ks)
	for _, k := range ks {
		fmt.Println(k, r.refused[k])
	}
}
