package sqfleet

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/standin/sqsimtarget"
	"github.com/sequoiatack/sequoiatack/internal/state/sqlists"
)

const adminTimeout = 15 * time.Second

var adminClient = &http.Client{Timeout: adminTimeout}

// response is the response of an HTTP API, with its body read in full.
type response struct {
	status int
	header http.Header
	body   []byte
}

// send sends one request to an HTTP API. A body that is not nil is encoded as
// JSON.
func send(ctx context.Context, method, url string, header http.Header, body any) (response, error) {
	var text []byte
	if body != nil {
		var err error
		if text, err = json.Marshal(body); err != nil {
			return response{}, errors.Wrap(err, "encode")
		}
	}
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(text))
	if err != nil {
		return response{}, errors.Wrap(err, "request")
	}
	if header != nil {
		req.Header = header
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := adminClient.Do(req)
	if err != nil {
		return response{}, errors.Wrap(err, "send")
	}
	defer resp.Body.Close()
	out, err := io.ReadAll(resp.Body)
	return response{status: resp.StatusCode, header: resp.Header, body: out}, err
}

// check returns an error that names the action unless the status is a success.
func (a response) check(action string) error {
	if a.status >= http.StatusMultipleChoices {
		return errors.Errorf("%s: status %d: %s", action, a.status, a.body)
	}
	return nil
}

func (f *Fleet) respondsOK(ctx context.Context, d *Daemon, path string) bool {
	a, err := send(ctx, http.MethodGet, "http://"+d.AdminAddress+path, nil, nil)
	return err == nil && a.status == http.StatusOK
}

// admin sends a request with the fleet's admin key to a daemon's admin API.
func (f *Fleet) admin(ctx context.Context, d *Daemon, method, path, ifMatch string, body any) (response, error) {
	h := http.Header{"Authorization": {"Bearer " + f.adminKey}}
	if ifMatch != "" {
		h.Set("If-Match", ifMatch)
	}
	return send(ctx, method, "http://"+d.AdminAddress+path, h, body)
}

// PutList replaces one list, "plans" or "workspaces", through a daemon's admin
// API and returns the ETag of the new revision.
func (f *Fleet) PutList(ctx context.Context, d *Daemon, list string, rows any) (string, error) {
	path := "/v1/lists/" + list
	a, err := f.admin(ctx, d, http.MethodGet, path, "", nil)
	if err == nil {
		err = a.check("get " + list)
	}
	if err != nil {
		return "", err
	}
	a, err = f.admin(ctx, d, http.MethodPut, path, a.header.Get("ETag"), rows)
	if err == nil {
		err = a.check("put " + list)
	}
	return a.header.Get("ETag"), err
}

// PutLists replaces both lists, plans first, through a daemon's admin API and
// returns the ETag of the last revision.
func (f *Fleet) PutLists(ctx context.Context, d *Daemon, lists sqlists.Lists) (string, error) {
	if _, err := f.PutList(ctx, d, "plans", lists.Plans); err != nil {
		return "", err
	}
	return f.PutList(ctx, d, "workspaces", lists.Workspaces)
}

// Status returns the decoded status document of a daemon.
func (f *Fleet) Status(ctx context.Context, d *Daemon) (map[string]any, error) {
	a, err := f.admin(ctx, d, http.MethodGet, "/v1/status", "", nil)
	if err == nil {
		err = a.check("status")
	}
	if err != nil {
		return nil, err
	}
	var status map[string]any
	return status, json.Unmarshal(a.body, &status)
}

// Metrics holds the metric families of a daemon by name.
type Metrics map[string]*dto.MetricFamily

// Sum returns the sum of a family's counters and gauges that have all of the
// given labels. Labels are alternating names and values.
func (m Metrics) Sum(name string, labels ...string) float64 {
	total := 0.0
	for _, metric := range m[name].GetMetric() {
		if hasLabels(metric, labels) {
			total += metric.GetCounter().GetValue() + metric.GetGauge().GetValue()
		}
	}
	return total
}

// By groups a family by the values of one label and returns the Sum of each
// group.
func (m Metrics) By(name, label string, labels ...string) map[string]float64 {
	out := make(map[string]float64)
	for _, metric := range m[name].GetMetric() {
		for _, l := range metric.GetLabel() {
			if l.GetName() == label {
				out[l.GetValue()] = m.Sum(name, append([]string{label, l.GetValue()}, labels...)...)
			}
		}
	}
	return out
}

// hasLabels reports whether m has all labels, which are alternating names and
// values.
func hasLabels(m *dto.Metric, labels []string) bool {
	for i := 0; i+1 < len(labels); i += 2 {
		found := false
		for _, l := range m.GetLabel() {
			found = found || l.GetName() == labels[i] && l.GetValue() == labels[i+1]
		}
		if !found {
			return false
		}
	}
	return true
}

// Metrics reads a daemon's current metrics.
func (f *Fleet) Metrics(ctx context.Context, d *Daemon) (Metrics, error) {
	a, err := f.admin(ctx, d, http.MethodGet, "/metrics", "", nil)
	if err == nil {
		err = a.check("metrics")
	}
	if err != nil {
		return nil, err
	}
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(bytes.NewReader(a.body))
	return families, err
}

// SetBehaviour replaces the simulated faults of a target.
func (f *Fleet) SetBehaviour(ctx context.Context, t *Target, b sqsimtarget.Behaviour) error {
	a, err := send(ctx, http.MethodPut, "http://"+t.ControlAddress+"/v1/behaviour", nil, b)
	if err != nil {
		return err
	}
	return a.check("behaviour of " + t.Name)
}

// CallRecords returns the recorded calls of a target. Calls of its earlier processes
// are included if those were terminated: a killed process writes no record.
func (f *Fleet) CallRecords(ctx context.Context, t *Target) ([]sqsimtarget.CallRecord, error) {
	earlier, err := sqsimtarget.ReadCallLog(t.recordFile)
	if err != nil || !t.Running() {
		return earlier, err
	}
	a, err := send(ctx, http.MethodGet, "http://"+t.ControlAddress+"/v1/runs", nil, nil)
	if err == nil {
		err = a.check("runs of " + t.Name)
	}
	if err != nil {
		return nil, err
	}
	var runs []sqsimtarget.CallRecord
	err = json.Unmarshal(a.body, &runs)
	return append(earlier, runs...), err
}

// AllCallRecords returns the recorded calls of all targets by service.
func (f *Fleet) AllCallRecords(ctx context.Context) (map[sqid.ServiceID][]sqsimtarget.CallRecord, error) {
	all := make(map[sqid.ServiceID][]sqsimtarget.CallRecord)
	for _, t := range f.targets {
		runs, err := f.CallRecords(ctx, t)
		if err != nil {
			return nil, err
		}
		all[t.Service] = append(all[t.Service], runs...)
	}
	return all, nil
}

// SetFaults replaces the platform's simulated faults. The keys are those of
// sqstore.Faults in JSON.
func (f *Fleet) SetFaults(ctx context.Context, faults map[string]any) error {
	a, err := send(ctx, http.MethodPut, "http://"+f.platform.FaultAddress+"/v1/faults", nil, faults)
	if err != nil {
		return err
	}
	return a.check("platform faults")
}

// PlatformAction runs an action of the platform's fault API: save, restore or
// compact.
func (f *Fleet) PlatformAction(ctx context.Context, action string) error {
	a, err := send(ctx, http.MethodPost, "http://"+f.platform.FaultAddress+"/v1/"+action, nil, nil)
	if err != nil {
		return err
	}
	return a.check("platform " + action)
}

// PlatformCounts returns the number of calls that the platform has received,
// by kind.
func (f *Fleet) PlatformCounts(ctx context.Context) (map[string]int, error) {
	a, err := send(ctx, http.MethodGet, "http://"+f.platform.FaultAddress+"/v1/counts", nil, nil)
	if err == nil {
		err = a.check("platform counts")
	}
	if err != nil {
		return nil, err
	}
	var counts map[string]int
	return counts, json.Unmarshal(a.body, &counts)
}
