package sqdaemon

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"github.com/sequoiatack/sequoiatack/internal/base/sqerror"
	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/base/squnit"
	"github.com/sequoiatack/sequoiatack/internal/edge/sqentry"
	"github.com/sequoiatack/sequoiatack/internal/edge/sqgate"
)

// sequenceRequest is one request of a sequence on a caller's connection.
type sequenceRequest struct {
	id string
	// service is near (beside the entry), far (beside another daemon), nearClosed or
	// farClosed (targets that take no calls), or none (unknown).
	service string
	size    int
	chunked bool
	// answer is how the target answers: late (after the body), early, rejected (early, as not
	// run) or cut (early, without an answer).
	answer string
}

var (
	sequenceServices = []string{"near", "far", "nearClosed", "farClosed", "none"}
	sequenceAnswers  = []string{"late", "early", "rejected", "cut"}
	sequenceSizes    = []int{0, 1, 5_000, sqgate.FrameBytes - 1, sqgate.FrameBytes, sqgate.FrameBytes + 1, 150_000, 360_000, 700_000, 3 << 20}
)

// decodeSequence returns the requests that some bytes stand for, two bytes each.
func decodeSequence(prefix string, data []byte) []sequenceRequest {
	var list []sequenceRequest
	for i := 0; i+1 < len(data) && len(list) < 12; i += 2 {
		list = append(list, sequenceRequest{
			id:      fmt.Sprintf("%s-%d", prefix, len(list)),
			service: sequenceServices[int(data[i])%len(sequenceServices)],
			size:    sequenceSizes[int(data[i+1])%len(sequenceSizes)],
			chunked: data[i]&0x80 != 0,
			answer:  sequenceAnswers[int(data[i+1]>>6)],
		})
	}
	return list
}

// body returns the request's body, which is full of requests that nobody sends, one at each
// multiple of 128 bytes.
func (q *sequenceRequest) body() []byte {
	line := fmt.Sprintf("PUT /near/in-%s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: 0\r\nX: ", q.id, testKey)
	line += strings.Repeat("x", 128-len(line)-len("\r\n\r\n")) + "\r\n\r\n"
	return []byte(strings.Repeat(line, q.size/len(line)+1))[:q.size]
}

// write sends the request.
func (q *sequenceRequest) write(c net.Conn) {
	bw := bufio.NewWriter(c)
	fmt.Fprintf(bw, "PUT /%s/%s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nAnswer: %s\r\n", q.service, q.id, testKey, q.answer)
	if q.chunked {
		_, _ = bw.WriteString("Transfer-Encoding: chunked\r\n\r\n")
		w := httputil.NewChunkedWriter(bw)
		for b := q.body(); len(b) > 0; {
			n := min(len(b), 50_000)
			_, _ = w.Write(b[:n])
			b = b[n:]
		}
		_ = w.Close()
		_, _ = bw.WriteString("\r\n")
	} else {
		fmt.Fprintf(bw, "Content-Length: %d\r\n\r\n", q.size)
		_, _ = bw.Write(q.body())
	}
	_ = bw.Flush()
}

// sequenceRuns is what targets have run.
type sequenceRuns struct {
	t    testing.TB
	mu   sync.Mutex
	sent map[string]*sequenceRequest
	runs map[string]int
}

// serve is the handler of the targets.
func (s *sequenceRuns) serve(w http.ResponseWriter, r *http.Request) {
	id := r.URL.Path[1:]
	s.mu.Lock()
	q := s.sent[id]
	s.mu.Unlock()
	if q == nil {
		s.t.Errorf("%s %s ran, which nobody sent", r.Method, r.URL)
		return
	}
	answer := r.Header.Get("Answer")
	if answer == "early" || answer == "rejected" {
		_ = http.NewResponseController(w).EnableFullDuplex()
		s.answer(w, q, answer)
		_ = http.NewResponseController(w).Flush()
	}
	got, err := io.ReadAll(r.Body)
	whole := q.body()
	switch {
	case err == nil && !bytes.Equal(got, whole), !bytes.HasPrefix(whole, got):
		s.t.Errorf("%s ran with %d bytes of %d, or others (%s, chunked %v)", id, len(got), len(whole), answer, q.chunked)
	}
	switch answer {
	case "cut":
		panic(http.ErrAbortHandler)
	case "late":
		s.answer(w, q, answer)
	}
}

func (s *sequenceRuns) answer(w http.ResponseWriter, q *sequenceRequest, answer string) {
	w.Header().Set("Content-Length", fmt.Sprint(len(q.id)))
	if answer == "rejected" {
		w.Header().Set("Sequoia-Run", "not-run")
		w.WriteHeader(http.StatusServiceUnavailable)
	} else {
		s.mu.Lock()
		s.runs[q.id]++
		s.mu.Unlock()
	}
	_, _ = io.WriteString(w, q.id)
}

// pathAdapter takes the service from the path, and hands the server's own request to the
// entry, as the adapters of platforms do.
type pathAdapter struct{}

// ParseRequest parses the path.
func (pathAdapter) ParseRequest(r *http.Request, now time.Time) (sqentry.RequestInfo, *sqerror.Error) {
	service, path, _ := strings.Cut(r.URL.Path[1:], "/")
	return sqentry.RequestInfo{Service: sqid.ServiceID(service), Path: "/" + path, Deadline: now.Add(5 * time.Second), Credit: 1}, nil
}

// SetAnswerHeaders adds none.
func (pathAdapter) SetAnswerHeaders(http.Header, *sqentry.RequestInfo, squnit.RunState) {}

// WriteRefusal writes the reason's status.
func (pathAdapter) WriteRefusal(w http.ResponseWriter, _ *sqentry.RequestInfo, e *sqerror.Error) {
	http.Error(w, string(e.Reason), e.Reason.Status())
}

// newSequenceFleet returns a fleet of two daemons with the services of sequences.
func newSequenceFleet(t testing.TB) (*fleet, *sequenceRuns) {
	f := newFleet(t, 2, planAllowing(1))
	n := f.nodes[0]
	callers := n.caller
	n.caller = httptest.NewServer(recoverPanics(n.entry.Handler(pathAdapter{}), logr.Discard()))
	t.Cleanup(func() {
		callers.Close()
		n.caller.CloseClientConnections()
		n.caller.Close()
	})
	s := &sequenceRuns{t: t, sent: make(map[string]*sequenceRequest), runs: make(map[string]int)}
	for i, service := range []string{"near", "far"} {
		f.target(i, sqid.ServiceID(service), s.serve)
		f.target(i, sqid.ServiceID(service+"Closed"), s.serve)
		f.nodes[i].targets.Drain(sqid.TargetID(service + "Closed-" + string(f.nodes[i].name)))
	}
	return f, s
}

// play sends a sequence, each request on the connection of the one before as long as that may
// be used, and checks the answers.
func (s *sequenceRuns) play(f *fleet, list []sequenceRequest) {
	var c net.Conn
	var br *bufio.Reader
	for i := range list {
		q := &list[i]
		s.mu.Lock()
		s.sent[q.id] = q
		s.mu.Unlock()
		if c == nil {
			var err error
			c, err = net.Dial("tcp", f.nodes[0].caller.Listener.Addr().String())
			qt.Assert(s.t, err, qt.IsNil)
			br = bufio.NewReader(c)
		}
		written := make(chan struct{})
		go func(c net.Conn) {
			defer close(written)
			q.write(c)
		}(c)
		_ = c.SetDeadline(time.Now().Add(10 * time.Second))
		resp, err := http.ReadResponse(br, nil)
		var text []byte
		if err == nil {
			text, err = io.ReadAll(resp.Body)
		}
		switch {
		case err != nil:
			s.t.Errorf("%+v got no answer: %v", *q, err)
		case resp.StatusCode == http.StatusOK && string(text) != q.id:
			s.t.Errorf("%+v got the answer %q", *q, text)
		case resp.StatusCode == http.StatusBadRequest:
			s.t.Errorf("%+v got %d: %s", *q, resp.StatusCode, text)
		}
		if err != nil || resp.Close {
			_ = c.Close()
			c = nil
		}
		<-written
	}
	if c != nil {
		_ = c.Close()
	}
}

// checkRuns checks that nothing ran twice.
func (s *sequenceRuns) checkRuns() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, n := range s.runs {
		// PUT is idempotent; it may be sent once more.
		if n > 2 {
			s.t.Errorf("%s ran %d times", id, n)
		}
	}
}

// TestSequencesOnOneConnection guards against the rest of an upload that is taken for the
// next request, and against an upload that is sent again with a hole. Sequences are drawn
// with fixed seeds.
func TestSequencesOnOneConnection(t *testing.T) {
	f, s := newSequenceFleet(t)
	var players sync.WaitGroup
	for seed := range uint64(48) {
		players.Go(func() {
			data := make([]byte, 24)
			for i, r := 0, rand.New(rand.NewPCG(seed, 1)); i < len(data); i++ {
				data[i] = byte(r.Uint32())
			}
			s.play(f, decodeSequence(fmt.Sprint("s", seed), data))
		})
		if seed%8 == 7 {
			players.Wait()
		}
	}
	players.Wait()
	s.checkRuns()
}

// FuzzSequences plays any sequence of requests on one connection.
func FuzzSequences(f *testing.F) {
	f.Add([]byte{0x00, 0x08, 0x02, 0x08, 0x00, 0x07})
	f.Add([]byte{0x80, 0x48, 0x00, 0x00, 0x81, 0x88, 0x01, 0x01})
	f.Add([]byte{0x04, 0x08, 0x00, 0x01, 0x03, 0xc9, 0x00, 0x07})
	f.Fuzz(func(t *testing.T, data []byte) {
		fleet, s := newSequenceFleet(t)
		s.play(fleet, decodeSequence("f", data))
		s.checkRuns()
	})
}

// TestRefusalWaitsForNoBody checks that a refusal is sent, with an honest "Connection:
// close", although the caller stops in the middle of its body.
func TestRefusalWaitsForNoBody(t *testing.T) {
	f, _ := newSequenceFleet(t)
	for _, service := range []string{"none", "nearClosed", "farClosed"} {
		for _, sent := range []int{0, 70_000} {
			if service != "none" && sent == 0 {
				// The entry reads the first part before it asks a gate.
				continue
			}
			c, err := net.Dial("tcp", f.nodes[0].caller.Listener.Addr().String())
			qt.Assert(t, err, qt.IsNil)
			_, err = fmt.Fprintf(c, "PUT /%s/x HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: 200000\r\n\r\n%s",
				service, testKey, strings.Repeat("p", sent))
			qt.Assert(t, err, qt.IsNil)
			start := time.Now()
			_ = c.SetReadDeadline(start.Add(5 * time.Second))
			br := bufio.NewReader(c)
			resp, err := http.ReadResponse(br, nil)
			comment := qt.Commentf("%s, %d bytes", service, sent)
			qt.Assert(t, err, qt.IsNil, comment)
			_, _ = io.Copy(io.Discard, resp.Body)
			qt.Check(t, resp.Close, qt.IsTrue, comment)
			_, err = br.ReadByte()
			qt.Check(t, err, qt.ErrorIs, io.EOF, comment)
			qt.Check(t, time.Since(start) < 3*time.Second, qt.IsTrue, qt.Commentf("%s, %d bytes: %v", service, sent, time.Since(start)))
			_ = c.Close()
		}
	}
}

// TestSequencesOverHTTP2 plays the same on connections of HTTP/2, where an answer before the
// end of the body ends the stream alone.
func TestSequencesOverHTTP2(t *testing.T) {
	f, s := newSequenceFleet(t)
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	f.nodes[0].caller.Close()
	f.nodes[0].caller = httptest.NewUnstartedServer(recoverPanics(f.nodes[0].entry.Handler(pathAdapter{}), logr.Discard()))
	f.nodes[0].caller.Config.Protocols = protocols
	f.nodes[0].caller.Start()
	transport := &http.Transport{Protocols: protocols}
	t.Cleanup(func() {
		transport.CloseIdleConnections()
		f.nodes[0].caller.Close()
	})
	for seed := range uint64(8) {
		data := make([]byte, 24)
		for i, r := 0, rand.New(rand.NewPCG(seed, 2)); i < len(data); i++ {
			data[i] = byte(r.Uint32())
		}
		for _, q := range decodeSequence(fmt.Sprint("h", seed), data) {
			s.mu.Lock()
			s.sent[q.id] = &q
			s.mu.Unlock()
			r, err := http.NewRequest(http.MethodPut, f.nodes[0].caller.URL+"/"+q.service+"/"+q.id, bytes.NewReader(q.body()))
			qt.Assert(t, err, qt.IsNil)
			r.GetBody = nil
			r.Header.Set("Answer", q.answer)
			if q.chunked {
				r.ContentLength = -1
			}
			resp, err := transport.RoundTrip(r)
			qt.Assert(t, err, qt.IsNil, qt.Commentf("%+v", q))
			text, err := io.ReadAll(resp.Body)
			_ = resp.Body.Close()
			qt.Check(t, err, qt.IsNil, qt.Commentf("%+v", q))
			qt.Check(t, resp.StatusCode != http.StatusOK || string(text) == q.id, qt.IsTrue, qt.Commentf("%+v got the answer %q", q, text))
		}
	}
	s.checkRuns()
}
