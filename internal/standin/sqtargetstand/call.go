package sqtargetstand

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
	// lateAfter is how long a crossed answer follows the one before it.
	lateAfter = time.Millisecond
)

// Answer is the body of a target's answer.
type Answer struct {
	RequestID string           `json:"requestId"`
	Workspace sqid.WorkspaceID `json:"workspace"`
	Service   sqid.ServiceID   `json:"service"`
	Target    sqid.TargetID    `json:"target"`
	// BodyBytes is the size of the request's body as the target read it.
	BodyBytes squnit.Bytes `json:"bodyBytes"`
	Filler    string       `json:"filler,omitempty"`
}

// errNested is the failure of a nested call.
var errNested = errors.New("nested call failed")

func (t *Target) serveCall(w http.ResponseWriter, r *http.Request) {
	i := t.record.Begin(r, time.Now())
	b := t.behaviour.get()
	if b.ShedAll || b.ShedAbove > 0 && t.waiting.Load() >= int64(b.ShedAbove) {
		t.record.End(i, OutcomeShed, time.Now())
		w.Header().Set(runHeader, squnit.RunNot.String())
		http.Error(w, "shed", http.StatusServiceUnavailable)
		return
	}
	if !t.takeSlot(r.Context()) {
		t.record.End(i, OutcomeLeft, time.Now())
		return
	}
	defer func() { <-t.slots }()
	t.record.Start(i, time.Now())
	outcome := OutcomeFailed
	defer func() { t.record.End(i, outcome, time.Now()) }()
	outcome = t.run(w, r, b)
}

// takeSlot waits for a slot; it reports false if the caller left.
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
	if nth(n, b.HangEvery) {
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
	if nth(n, b.FailEvery) {
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
	if nth(n, b.TruncateEvery) {
		_, _ = w.Write(body[:len(body)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	if nth(n, b.CrossEvery) && r.ProtoMajor == 1 {
		return t.answerTwice(w, body)
	}
	if _, err := w.Write(body); err != nil {
		return OutcomeCancelled
	}
	return OutcomeDone
}

// answerTwice sends the answer, and once more where the next request's answer
// would be.
func (t *Target) answerTwice(w http.ResponseWriter, body []byte) Outcome {
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
		time.Sleep(lateAfter)
		_, _ = conn.Write(wire.Bytes())
		// The next request, if one comes, is read and left unanswered.
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
			if err := t.callOne(r.Context(), r, n, t.callID(run, i)); err != nil {
				return err
			}
		}
		return nil
	}
	g, ctx := errgroup.WithContext(r.Context())
	for i, n := range t.Config.Nested {
		g.Go(func() error { return t.callOne(ctx, r, n, t.callID(run, i)) })
	}
	return g.Wait()
}

// callID returns an id of a run's nested call with index i, unique over all
// lives of all targets.
func (t *Target) callID(run uint64, i int) string {
	return fmt.Sprintf("%s-%x-%d-%d", t.Config.Name, t.started, run, i)
}

func (t *Target) callOne(ctx context.Context, r *http.Request, n NestedCall, id string) error {
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
	return checkNested(body, r.Header.Get(RequestIDHeader), n.Service)
}

func checkNested(body []byte, id string, service sqid.ServiceID) error {
	var a Answer
	if err := json.Unmarshal(body, &a); err != nil {
		return errors.Wrapf(errNested, "%s: %v", service, err)
	}
	if a.RequestID != id || a.Service != service {
		return errors.Wrapf(errNested, "crossed answer: %s of %s for %s of %s", a.RequestID, a.Service, id, service)
	}
	return nil
}
