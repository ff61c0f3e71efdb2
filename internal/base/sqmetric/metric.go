// Package sqmetric holds the daemon's counters and histograms.
package sqmetric

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"github.com/sequoiatack/sequoiatack/internal/base/sqreason"
)

const namespace = "sequoiatack"

// Set is the metrics of one daemon, in a registry of their own.
type Set struct {
	// Registry is what /metrics serves.
	Registry *prometheus.Registry
	// Refusals counts refused requests by reason.
	Refusals *prometheus.CounterVec
	// Retries counts retries made and not made by reason.
	Retries *prometheus.CounterVec
	// Calls counts calls by outcome: run, not-run, unknown.
	Calls *prometheus.CounterVec
	// PlatformCalls counts calls to the platform by kind; a waiting watch
	// counts once when it is opened.
	PlatformCalls *prometheus.CounterVec
	// ControlBytes counts bytes between daemons that are no caller's, by
	// direction (sent, received) and kind.
	ControlBytes *prometheus.CounterVec
	// ListsIgnored counts lists that were not applied, by reason.
	ListsIgnored *prometheus.CounterVec
	// ListsRevision is the revision of the lists in force.
	ListsRevision prometheus.Gauge
	// CallSeconds is the time of a call at the entry, in seconds.
	CallSeconds prometheus.Histogram
	// QueueSeconds is the time that a call waits at the gate, in seconds.
	QueueSeconds prometheus.Histogram
}

// New returns a set with every reason at zero.
func New() *Set {
	s := &Set{
		Registry:      prometheus.NewRegistry(),
		Refusals:      counterVec("refusals_total", "Requests refused, by reason.", "reason"),
		Retries:       counterVec("retries_total", "Retries made and not made, by reason.", "reason"),
		Calls:         counterVec("calls_total", "Calls by outcome.", "run"),
		PlatformCalls: counterVec("platform_calls_total", "Calls to the platform by kind.", "kind"),
		ControlBytes:  counterVec("control_bytes_total", "Bytes between daemons for control.", "direction", "kind"),
		ListsIgnored:  counterVec("lists_ignored_total", "Lists that were not applied, by reason.", "reason"),
		ListsRevision: gauge("lists_revision", "Revision of the lists in force."),
		CallSeconds:   histogram("call_seconds", "Time of a call at the entry."),
		QueueSeconds:  histogram("queue_seconds", "Time that a call waits at the gate."),
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

func histogram(name, help string) prometheus.Histogram {
	return prometheus.NewHistogram(prometheus.HistogramOpts{
		Namespace: namespace, Name: name, Help: help,
		Buckets: prometheus.ExponentialBuckets(0.0001, 2, 18),
	})
}
