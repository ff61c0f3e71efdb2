package sqsimtarget

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/base/sqtimer"
	"github.com/sequoiatack/sequoiatack/internal/base/squnit"
)

const (
	runHeader  = "Sequoia-Run"
	callHeader = "Sequoia-Call"
	// duplicateDelay is the delay of a duplicate answer after the first one, and
	// the polling interval of waitIdle.
	duplicateDelay = time.Millisecond
)

// Answer is the body of a successful answer.
type Answer struct {
	RequestID string           `json:"requestId"`
	Workspace sqid.WorkspaceID `json:"workspace"`
	Service   sqid.ServiceID   `json:"service"`
	Target    sqid.TargetID    `json:"target"`
	// BodyBytes is the size of the request body that the target read.
	BodyBytes squnit.Bytes `json:"bodyBytes"`
	// Filler pads the answer to about the configured size.
	Filler string `json:"filler,omitempty"`
}

// errNested marks the errors of nested calls.
var errNested = errors.New("nested call failed")

// serveCall sheds a call, or waits for a slot and runs it, and records the
// outcome.
func (t *Target) serveCall(w http.ResponseWriter, r *http.Request) {
	i := t.callLog.Begin(r, time.Now())
	b := t.behaviour.get()
	if b.ShedAll || b.ShedAbove > 0 && t.waiting.Load() >= int64(b.ShedAbove) {
		t.callLog.End(i, OutcomeShed, time.Now())
		w.Header().Set(runHeader, squnit.RunNot.String())
		http.Error(w, "shed", http.StatusServiceUnavailable)
		return
	}
	if !t.takeSlot(r.Context()) {
		t.callLog.End(i, OutcomeAbandoned, time.Now())
		return
	}
	defer func() { <-t.slots }()
	t.callLog.Start(i, time.Now())
	// The outcome stays OutcomeFailed if run panics to truncate the answer.
	outcome := OutcomeFailed
	defer func() { t.callLog.End(i, outcome, time.Now()) }()
	outcome = t.run(w, r, b)
}

// takeSlot waits for a slot. It returns false if the caller cancels first.
func (t *Target) takeSlot(ctx context.Context) bool {
	t.waiting.Add(1)
	defer t.waiting.Add(-1)
	select {
	case t.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (t *Target) run(w http.ResponseWriter, r *http.Request, b Behaviour) Outcome {
	n := t.runs.Add(1)
	size, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return OutcomeCancelled
	}
	if isNth(n, b.HangEvery) {
		<-r.Context().Done()
		return OutcomeCancelled
	}
	if sqtimer.Sleep(r.Context(), t.serviceTime(time.Now())) != nil {
		return OutcomeCancelled
	}
	if err := t.callNested(r, n); err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return OutcomeFailed
	}
	if isNth(n, b.FailEvery) {
		http.Error(w, "failing", http.StatusInternalServerError)
		return OutcomeFailed
	}
	return t.answer(w, r, n, squnit.Bytes(size))
}

func (t *Target) answer(w http.ResponseWriter, r *http.Request, n uint64, size squnit.Bytes) Outcome {
	b := t.behaviour.get()
	id := r.Header.Get(RequestIDHeader)
	body, _ := json.Marshal(Answer{
		RequestID: id,
		Workspace: sqid.WorkspaceID(r.Header.Get("Sequoia-Workspace")),
		Service:   t.Config.Service,
		Target:    t.Config.Name,
		BodyBytes: size,
		Filler:    strings.Repeat("x", int(t.Config.AnswerBytes)),
	})
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.Header().Set(RequestIDHeader, id)
	w.Header().Set(callHeader, r.Header.Get(callHeader))
	if isNth(n, b.TruncateEvery) {
		_, _ = w.Write(body[:len(body)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	if isNth(n, b.DuplicateEvery) && r.ProtoMajor == 1 {
		return t.sendDuplicateAnswer(w, body)
	}
	if _, err := w.Write(body); err != nil {
		return OutcomeCancelled
	}
	return OutcomeDone
}

// sendDuplicateAnswer sends the answer, and after a delay a copy of it on the
// same connection, where a client expects the answer to its next request.
func (t *Target) sendDuplicateAnswer(w http.ResponseWriter, body []byte) Outcome {
	header := w.Header().Clone()
	header.Del("Content-Length")
	conn, buf, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return OutcomeFailed
	}
	var wire bytes.Buffer
	resp := http.Response{
		StatusCode: http.StatusOK, ProtoMajor: 1, ProtoMinor: 1,
		Header:        header,
		ContentLength: int64(len(body)), Body: io.NopCloser(bytes.NewReader(body)),
	}
	_ = resp.Write(&wire)
	if _, err := conn.Write(wire.Bytes()); err != nil {
		_ = conn.Close()
		return OutcomeCancelled
	}
	go func() {
		defer conn.Close()
		time.Sleep(duplicateDelay)
		_, _ = conn.Write(wire.Bytes())
		// Read the next request, if there is one, but don't answer it.
		_ = conn.SetReadDeadline(time.Now().Add(headerTimeout))
		_, _ = http.ReadRequest(bufio.NewReader(buf))
	}()
	return OutcomeDone
}

func (t *Target) callNested(r *http.Request, run uint64) error {
	if t.Config.LocalAddress == "" || len(t.Config.Nested) == 0 {
		return nil
	}
	if !t.Config.Parallel {
		for i, n := range t.Config.Nested {
			if err := t.callService(r.Context(), r, n, t.callID(run, i)); err != nil {
				return err
			}
		}
		return nil
	}
	g, ctx := errgroup.WithContext(r.Context())
	for i, n := range t.Config.Nested {
		g.Go(func() error { return t.callService(ctx, r, n, t.callID(run, i)) })
	}
	return g.Wait()
}

// callID returns the id of the nested call with index i of a run. It is unique
// among all targets and their restarts.
func (t *Target) callID(run uint64, i int) string {
	return fmt.Sprintf("%s-%x-%d-%d", t.Config.Name, t.startedAt, run, i)
}

func (t *Target) callService(ctx context.Context, r *http.Request, n NestedCall, id string) error {
	method := n.Method
	if method == "" {
		method = http.MethodGet
	}
	url := "http://" + t.Config.LocalAddress + "/call/" + string(n.Service) + n.Path
	req, err := http.NewRequestWithContext(ctx, method, url, nil)
	if err != nil {
		return errors.Wrap(err, "nested request")
	}
	req.Header.Set(callHeader, r.Header.Get(callHeader))
	req.Header.Set(RequestIDHeader, r.Header.Get(RequestIDHeader))
	req.Header.Set(CallIDHeader, id)
	resp, err := t.Client.Do(req)
	if err != nil {
		return errors.Wrapf(errNested, "%s: %v", n.Service, err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return errors.Wrapf(errNested, "%s: %v", n.Service, err)
	}
	if resp.StatusCode != http.StatusOK {
		return errors.Wrapf(errNested, "%s: status %d: %s", n.Service, resp.StatusCode, body)
	}
	return checkNestedAnswer(body, r.Header.Get(RequestIDHeader), n.Service)
}

// checkNestedAnswer returns an error if the answer to a nested call is not that
// of the given request and service.
func checkNestedAnswer(body []byte, id string, service sqid.ServiceID) error {
	var a Answer
	if err := json.Unmarshal(body, &a); err != nil {
		return errors.Wrapf(errNested, "%s: %v", service, err)
	}
	if a.RequestID != id || a.Service != service {
		return errors.Wrapf(errNested, "crossed answer: %s of %s for %s of %s", a.RequestID, a.Service, id, service)
	}
	return nil
}
