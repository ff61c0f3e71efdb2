// Package sqmetric defines the daemon's Prometheus metrics.
package sqmetric

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"github.com/sequoiatack/sequoiatack/internal/base/sqreason"
)

// namespace is the prefix of every metric's name.
const namespace = "sequoiatack"

// Set holds the metrics of one daemon, in a registry of their own. They are safe for
// concurrent use.
type Set struct {
	// Registry is the registry that /metrics serves.
	Registry *prometheus.Registry
	// Refusals counts refused requests by reason.
	Refusals *prometheus.CounterVec
	// Retries counts decisions on a retry, made or not, by reason.
	Retries *prometheus.CounterVec
	// Calls counts calls by whether the target has run them: run, not-run,
	// unknown (see squnit.RunState).
	Calls *prometheus.CounterVec
	// PlatformCalls counts calls to the platform by kind. A watch counts once,
	// when it is opened.
	PlatformCalls *prometheus.CounterVec
	// ControlBytes counts bytes of the control traffic between daemons, which
	// excludes callers' calls, by direction (sent, received) and kind.
	ControlBytes *prometheus.CounterVec
	// ListsIgnored counts versions of the lists that were received but not
	// applied, by reason.
	ListsIgnored *prometheus.CounterVec
	// ListsRevision is the revision of the lists in force.
	ListsRevision prometheus.Gauge
	// CallSeconds is the duration of a call at the entry, over all its attempts, in
	// seconds.
	CallSeconds prometheus.Histogram
	// QueueSeconds is the time that an admitted call has waited in the gate's queue,
	// in seconds.
	QueueSeconds prometheus.Histogram
}

// New returns a Set. Its counters of refusals and retries start with a series at zero
// for every reason.
func New() *Set {
	s := &Set{
		Registry:      prometheus.NewRegistry(),
		Refusals:      counterVec("refusals_total", "Requests refused, by reason.", "reason"),
		Retries:       counterVec("retries_total", "Decisions on a retry, by the reason for which it was made or not made.", "reason"),
		Calls:         counterVec("calls_total", "Calls by whether the target has run them: run, not-run or unknown.", "run"),
		PlatformCalls: counterVec("platform_calls_total", "Calls to the platform, by kind; a watch counts once, when it is opened.", "kind"),
		ControlBytes:  counterVec("control_bytes_total", "Bytes of control traffic between daemons, without callers' calls, by direction and kind.", "direction", "kind"),
		ListsIgnored:  counterVec("lists_ignored_total", "Versions of the lists of workspaces and plans that were not applied, by reason.", "reason"),
		ListsRevision: gauge("lists_revision", "Revision of the lists of workspaces and plans in force."),
		CallSeconds:   histogram("call_seconds", "Duration of a call at the entry, over all its attempts, in seconds."),
		QueueSeconds:  histogram("queue_seconds", "Time that an admitted call has waited in the gate's queue, in seconds."),
	}
	s.Registry.MustRegister(
		s.Refusals, s.Retries, s.Calls, s.PlatformCalls, s.ControlBytes, s.ListsIgnored, s.ListsRevision,
		s.CallSeconds, s.QueueSeconds,
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	for _, r := range sqreason.Refusals() {
		s.Refusals.WithLabelValues(string(r))
	}
	for _, r := range sqreason.Retries() {
		s.Retries.WithLabelValues(string(r))
	}
	return s
}

func counterVec(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
}

func gauge(name, help string) prometheus.Gauge {
	return prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help})
}

// histogram returns a histogram with buckets from 0.1 ms to 13 s, each twice the one
// before.
func histogram(name, help string) prometheus.Histogram {
	return prometheus.NewHistogram(prometheus.HistogramOpts{
		Namespace: namespace, Name: name, Help: help,
		Buckets: prometheus.ExponentialBuckets(0.0001, 2, 18),
	})
}
