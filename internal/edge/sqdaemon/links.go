package sqdaemon

import (
	"time"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/base/squnit"
	"github.com/sequoiatack/sequoiatack/internal/policy/sqroute"
	"github.com/sequoiatack/sequoiatack/internal/state/sqmember"
)

// links divides the bandwidth of the links to other regions equally among the live
// daemons of this region.
type links struct {
	member *sqmember.Member
	route  *sqroute.Router
	region sqid.RegionID
	// rate is the bandwidth of one link, in bytes per second.
	rate squnit.Bytes
	// configured maps the data centres in the settings to their regions. Links to
	// these regions may be used before any daemon there is known.
	configured map[sqid.DataCentreID]sqid.RegionID
}

// Tick sets this daemon's share of each link. Its burst is that of one second.
func (l *links) Tick(time.Time) {
	var localDaemons squnit.Bytes
	otherRegions := make(map[sqid.RegionID]bool)
	for _, region := range l.configured {
		if region != l.region {
			otherRegions[region] = true
		}
	}
	l.member.Each(func(r sqmember.Row) bool {
		switch {
		case r.State != sqmember.Alive:
		case r.Region == l.region:
			localDaemons++
		default:
			otherRegions[r.Region] = true
		}
		return true
	})
	share := l.rate / max(localDaemons, 1)
	for region := range otherRegions {
		l.route.SetLink(region, share, share)
	}
}
