package sqsimtarget

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"
)

const (
	headerTimeout = 5 * time.Second
	drainTimeout  = 20 * time.Second
	// minDrainTime is the least time between the start of draining and the
	// withdrawal, in which calls that are already on their way arrive.
	minDrainTime = 200 * time.Millisecond
)

// Target is a stand-in target. The exported fields must be set before Run or
// Prepare.
type Target struct {
	Config Config
	// Client sends nested calls and announcements; nil means a default client.
	Client *http.Client

	callLog CallLog
	// startedAt is the start in Unix nanoseconds, which makes the ids of nested
	// calls unique among restarts.
	startedAt int64
	behaviour behaviourState
	// slots holds an element for each slot in use.
	slots chan struct{}
	// waiting is the number of calls that wait for a slot.
	waiting atomic.Int64
	// runs is the number of runs begun.
	runs atomic.Uint64

	// rndMu guards rnd.
	rndMu sync.Mutex
	rnd   *rand.Rand
}

// Run serves until ctx ends. It then shuts down gracefully: it announces to the
// daemon that it drains, finishes the calls in progress, withdraws from the
// daemon, closes its servers and writes the record.
func (t *Target) Run(ctx context.Context) error {
	if err := t.Config.Check(); err != nil {
		return err
	}
	t.Prepare(time.Now())
	servers, err := t.listen()
	if err != nil {
		return err
	}
	var g errgroup.Group
	for _, s := range servers {
		g.Go(s.serve)
	}
	err = t.keepAnnounced(ctx)
	stop, cancel := context.WithTimeout(context.WithoutCancel(ctx), drainTimeout)
	defer cancel()
	for _, s := range servers {
		err = errors.Join(err, s.server.Shutdown(stop))
	}
	return errors.Join(err, g.Wait(), t.writeRecord())
}

const recordPerm = 0o600

// writeRecord appends the record to those of the target's earlier processes in
// RecordFile.
func (t *Target) writeRecord() error {
	if t.Config.RecordFile == "" {
		return nil
	}
	runs, err := ReadCallLog(t.Config.RecordFile)
	if err != nil {
		return err
	}
	text, err := json.Marshal(append(runs, t.callLog.Calls()...))
	if err != nil {
		return errors.Wrap(err, "encode record")
	}
	return os.WriteFile(t.Config.RecordFile, text, recordPerm)
}

// ReadCallLog reads the record that a target's processes wrote to a file. If the
// file does not exist, the record is empty.
func ReadCallLog(file string) ([]CallRecord, error) {
	text, err := os.ReadFile(file)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, errors.Wrap(err, "read record")
	}
	var runs []CallRecord
	return runs, json.Unmarshal(text, &runs)
}

// Prepare initialises the target so that Handler can serve. Run calls it.
func (t *Target) Prepare(now time.Time) {
	if t.Client == nil {
		t.Client = newClient()
	}
	t.startedAt = now.UnixNano()
	t.slots = make(chan struct{}, t.Config.Slots)
	t.rnd = rand.New(rand.NewPCG(t.Config.Seed, uint64(len(t.Config.Name))))
	t.behaviour.set(t.Config.Behaviour, now)
}

func newClient() *http.Client {
	tr := &http.Transport{MaxIdleConnsPerHost: 512, MaxIdleConns: 0, IdleConnTimeout: time.Minute}
	return &http.Client{Transport: tr}
}

// boundServer is a server with its open listener.
type boundServer struct {
	listener net.Listener
	server   *http.Server
}

func (l boundServer) serve() error {
	if err := l.server.Serve(l.listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve")
	}
	return nil
}

// listen opens the listeners for calls and for the control API. After an error
// none is open.
func (t *Target) listen() ([]boundServer, error) {
	handlers := map[string]http.Handler{t.Config.Address: t.Handler()}
	if t.Config.ControlAddress != "" {
		handlers[t.Config.ControlAddress] = t.ControlHandler()
	}
	var all []boundServer
	for address, h := range handlers {
		l, err := net.Listen("tcp", address)
		if err != nil {
			for _, open := range all {
				_ = open.listener.Close()
			}
			return nil, errors.Wrap(err, "listen")
		}
		var protocols http.Protocols
		protocols.SetHTTP1(true)
		protocols.SetUnencryptedHTTP2(true)
		server := &http.Server{Handler: h, Protocols: &protocols, ReadHeaderTimeout: headerTimeout}
		all = append(all, boundServer{listener: l, server: server})
	}
	return all, nil
}

// ControlHandler returns the handler of the control API: GET and PUT
// /v1/behaviour, and GET /v1/runs for the record.
func (t *Target) ControlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/behaviour", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, t.behaviour.get())
	})
	mux.HandleFunc("PUT /v1/behaviour", func(w http.ResponseWriter, r *http.Request) {
		var b Behaviour
		d := json.NewDecoder(r.Body)
		d.DisallowUnknownFields()
		if err := d.Decode(&b); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		t.behaviour.set(b, time.Now())
		writeJSON(w, b)
	})
	mux.HandleFunc("GET /v1/runs", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, t.callLog.Calls())
	})
	return mux
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// LoadPath is the path of the load endpoint.
const LoadPath = "/sequoia-standin/load"

// LoadReport is the answer of the load endpoint.
type LoadReport struct {
	// Load is the fraction of the slots in use, from 0 to 1.
	Load     float64 `json:"load"`
	InFlight int     `json:"inFlight"`
	Slots    int     `json:"slots"`
}

// Handler returns the handler of calls and of the load endpoint.
func (t *Target) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+LoadPath, func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, t.load())
	})
	mux.HandleFunc("/", t.serveCall)
	return mux
}

func (t *Target) load() LoadReport {
	report := LoadReport{InFlight: len(t.slots), Slots: cap(t.slots)}
	if b := t.behaviour.get(); b.ReportFalseLoad {
		report.InFlight = int(b.FalseLoad * float64(report.Slots))
	}
	report.Load = float64(report.InFlight) / float64(report.Slots)
	return report
}

// serviceTime draws a service time and applies the behaviour's factor at now.
func (t *Target) serviceTime(now time.Time) time.Duration {
	t.rndMu.Lock()
	d := t.Config.ServiceTime.Draw(t.rnd)
	t.rndMu.Unlock()
	return time.Duration(float64(d) * t.behaviour.factor(now))
}
