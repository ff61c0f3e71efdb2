package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// run is one run of a request at an instance.
type run struct {
	id, instance string
	arrived      time.Time
	ended        time.Time
}

// instance is a stand-in of an application instance: one request at a time on each
// connection, a signature on each answer, 421 to requests for another instance.
type instance struct {
	*record
	id      string
	machine *machine
	born    int64
	slots   int
	// work is how long a request takes.
	work time.Duration
	// shed, if set, reports whether the instance is too full to run a request, and the
	// time after which it sends a second copy of that answer; 0 sends none.
	shed func(id, path string) (full bool, copyAfter time.Duration)
	// endless, if set, reports whether the instance sends a body without end.
	endless func() bool
	// workFor, if set, replaces work by the time that a request for a path takes.
	workFor func(path string) time.Duration

	mu    sync.Mutex
	state string
	seq   int
	// runs are the runs that have ended.
	runs []run
	// began has all runs, without their ends.
	began []run
	conns map[net.Conn]bool
	// listener accepts the connections.
	listener net.Listener
	// answered has the times of all answers.
	answered []time.Time
}

func newInstance(r *record, id string, m *machine, work time.Duration) (*instance, error) {
	l, err := net.Listen("tcp", m.address(portApp))
	if err != nil {
		return nil, err
	}
	i := &instance{record: r, id: id, machine: m, born: time.Now().UnixMilli(), slots: 88, work: work, state: "ready", listener: l, conns: make(map[net.Conn]bool)}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go i.serve(c)
		}
	}()
	return i, nil
}

// beat returns the next heartbeat.
func (i *instance) beat() map[string]any {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.seq++
	return map[string]any{
		"address": i.machine.address(portApp), "born": i.born,
		"info":   map[string]any{"service": i.machine.service, "version": "v1", "zone": i.machine.zone, "slots": i.slots},
		"status": map[string]any{"state": i.state, "seq": i.seq, "warmup_left": "0ms"},
	}
}

// setState sets the state that the next heartbeats tell.
func (i *instance) setState(state string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.state = state
}

// announce sends heartbeats until stop is closed.
func (i *instance) announce(stop <-chan struct{}) {
	for {
		i.machine.call("instances.heartbeat", i.id, i.beat())
		select {
		case <-stop:
			return
		case <-time.After(heartbeat):
		}
	}
}

func (i *instance) serve(c net.Conn) {
	i.track(c, true)
	defer func() {
		i.track(c, false)
		_ = c.Close()
	}()
	in := bufio.NewReader(c)
	var out sync.Mutex
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		id := r.Header.Get("Request-Id")
		if r.URL.Path == "/health" {
			i.write(&out, c, fmt.Sprintf("HTTP/1.1 200 OK\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", i.id))
			continue
		}
		if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != i.id {
			i.add("instance %s: %s is for %s: 421", i.id, id, expected)
			i.write(&out, c, fmt.Sprintf("HTTP/1.1 421 Misdirected Request\r\nRequest-Id: %s\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", id, i.id))
			continue
		}
		if i.shed != nil {
			if full, copyAfter := i.shed(id, r.URL.Path); full {
				answer := fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\nRequest-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", id)
				i.add("instance %s: %s not run, 503 with Not-Executed", i.id, id)
				i.write(&out, c, answer)
				if copyAfter > 0 {
					time.AfterFunc(copyAfter, func() {
						i.add("instance %s: second copy of the 503 to %s", i.id, id)
						i.write(&out, c, answer)
					})
				}
				continue
			}
		}
		if !i.run(&out, c, id, r, body) {
			return
		}
	}
}

// track adds an open connection, or removes one.
func (i *instance) track(c net.Conn, open bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if open {
		i.conns[c] = true
	} else {
		delete(i.conns, c)
	}
}

func (i *instance) write(out *sync.Mutex, c net.Conn, text string) bool {
	out.Lock()
	defer out.Unlock()
	_, err := io.WriteString(c, text)
	i.mu.Lock()
	defer i.mu.Unlock()
	i.answered = append(i.answered, time.Now())
	return err == nil
}

// answersSince returns the number of answers that were sent since a time.
func (i *instance) answersSince(start time.Time) int {
	i.mu.Lock()
	defer i.mu.Unlock()
	n := 0
	for _, at := range i.answered {
		if at.After(start) {
			n++
		}
	}
	return n
}

// run runs a request, until its deadline at most, and answers it.
func (i *instance) run(out *sync.Mutex, c net.Conn, id string, r *http.Request, body []byte) bool {
	x := run{id: id, instance: i.id, arrived: time.Now()}
	i.add("instance %s: runs %s", i.id, id)
	i.mu.Lock()
	i.began = append(i.began, x)
	i.mu.Unlock()
	if i.endless != nil && i.endless() {
		return i.sendEndless(out, c, id)
	}
	work, status := i.work, "200 OK"
	if i.workFor != nil {
		work = i.workFor(r.URL.Path)
	}
	if ms, err := strconv.Atoi(r.Header.Get("Deadline-Ms")); err == nil && time.Duration(ms)*time.Millisecond < work {
		work, status = time.Duration(ms)*time.Millisecond, "504 Gateway Timeout"
	}
	time.Sleep(work)
	x.ended = time.Now()
	i.mu.Lock()
	i.runs = append(i.runs, x)
	i.mu.Unlock()
	text := "done " + id + "\n"
	ok := i.write(out, c, fmt.Sprintf("HTTP/1.1 %s\r\nRequest-Id: %s\r\nResponse-Signature: %s.%d\r\nKeep-Alive: timeout=10\r\nContent-Length: %d\r\n\r\n%s",
		status, id, id, len(body), len(text), text))
	i.add("instance %s: answered %s with %s, connection open %v", i.id, id, status, ok)
	return ok
}

// sendEndless answers with a body that ends only when the caller closes the connection.
func (i *instance) sendEndless(out *sync.Mutex, c net.Conn, id string) bool {
	out.Lock()
	defer out.Unlock()
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: %s\r\n\r\n", id, id)
	noise := make([]byte, 32<<10)
	for err == nil {
		_, err = c.Write(noise)
	}
	i.add("instance %s: the caller closed the connection of %s", i.id, id)
	return false
}

// startedRuns returns the runs that have begun.
func (i *instance) startedRuns() []run {
	i.mu.Lock()
	defer i.mu.Unlock()
	return append([]run(nil), i.began...)
}

// hasStarted reports whether a request has begun to run.
func (i *instance) hasStarted(id string) bool {
	return slices.ContainsFunc(i.startedRuns(), func(x run) bool { return x.id == id })
}

// exit ends the instance: it closes its address and all connections.
func (i *instance) exit() {
	i.mu.Lock()
	defer i.mu.Unlock()
	_ = i.listener.Close()
	for c := range i.conns {
		_ = c.Close()
	}
	i.add("instance %s ended", i.id)
}

// allRuns returns the runs that have ended.
func (i *instance) allRuns() []run {
	i.mu.Lock()
	defer i.mu.Unlock()
	return append([]run(nil), i.runs...)
}
