package sqshed

import "slices"

// maxReports is the largest number of load reports that one answer carries.
const maxReports = 8

// DeeperReports collects, for one call that a gate has handed to its target, the load
// reports of the services that the target's nested calls reached. They are sent
// as the `deeper` field of the call's own answer. The zero value is empty. A
// DeeperReports is not safe for concurrent use.
type DeeperReports struct {
	reports []LoadReport
}

// Add records the answer to a nested call: the load report of the service that
// was called, and the reports of deeper services that the answer carried. For
// each service it keeps only the report with the highest threshold, and at most
// maxReports reports in all, again those with the highest thresholds.
func (d *DeeperReports) Add(called LoadReport, deeper []LoadReport) {
	d.add(called)
	for i := range deeper {
		d.add(deeper[i])
	}
}

func (d *DeeperReports) add(r LoadReport) {
	if r.threshold() <= 0 {
		return
	}
	loosest := 0
	for i := range d.reports {
		if d.reports[i].Service == r.Service {
			if r.stricter(&d.reports[i]) {
				d.reports[i] = r
			}
			return
		}
		if d.reports[loosest].stricter(&d.reports[i]) {
			loosest = i
		}
	}
	switch {
	case len(d.reports) < maxReports:
		d.reports = append(d.reports, r)
	case r.stricter(&d.reports[loosest]):
		d.reports[loosest] = r
	}
}

// Reports returns a copy of the collected load reports.
func (d *DeeperReports) Reports() []LoadReport {
	return slices.Clone(d.reports)
}
