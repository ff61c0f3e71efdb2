package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	instanceSlots = 88
	// workTime is the time that an instance works on a request that it answers early.
	workTime = 400 * time.Millisecond
)

// instance is a stand-in of an instance. It serves one request at a time on a connection.
type instance struct {
	fleet *fleet
	host  *host
	id    string
	born  int64
	seq   atomic.Int64
	// slots are the slots that it announces.
	slots    int
	listener net.Listener
	ended    chan struct{}
	// silent is set once it has said that it leaves: it sends no more heartbeats.
	silent atomic.Bool
	// answersEarly says when the instance answers a request; nil stands for onTime.
	answersEarly func(r *http.Request) timing
	// answers, if not nil, answers the requests; an error ends the connection.
	answers func(c net.Conn, r *http.Request) error

	mu    sync.Mutex
	conns map[net.Conn]bool
}

func startInstance(f *fleet, h *host, ip string) (*instance, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	i := &instance{
		fleet: f, host: h, id: "i-" + h.name, born: time.Now().UnixMilli(), listener: l, ended: make(chan struct{}),
		conns: make(map[net.Conn]bool), slots: instanceSlots,
	}
	go i.accept()
	return i, nil
}

func (i *instance) address() string { return i.listener.Addr().String() }

func (i *instance) close() {
	close(i.ended)
	_ = i.listener.Close()
	i.mu.Lock()
	defer i.mu.Unlock()
	for c := range i.conns {
		_ = c.Close()
	}
}

func (i *instance) accept() {
	for {
		c, err := i.listener.Accept()
		if err != nil {
			return
		}
		i.mu.Lock()
		i.conns[c] = true
		i.mu.Unlock()
		go i.serve(c)
	}
}

func (i *instance) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		i.mu.Lock()
		delete(i.conns, c)
		i.mu.Unlock()
	}()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if err := i.answer(c, r); err != nil {
			return
		}
	}
}

// timing says when an instance answers a request.
type timing int

const (
	// onTime is after it has read the body.
	onTime timing = iota
	// answeredEarly requests are run and answered, and rejectedEarly ones rejected, before
	// the body is read.
	answeredEarly
	rejectedEarly
)

// earlyBytes is how much of a body an instance has read when it answers early.
const earlyBytes = 16 << 10

// answer runs one request and answers it.
func (i *instance) answer(c net.Conn, r *http.Request) error {
	id := r.Header.Get("Request-Id")
	if expected := r.Header.Get("Expect-Instance"); expected != i.id {
		_, _ = io.Copy(io.Discard, r.Body)
		_, err := fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: %s\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", id, i.id)
		return err
	}
	if i.answers != nil {
		return i.answers(c, r)
	}
	early := onTime
	if i.answersEarly != nil {
		early = i.answersEarly(r)
	}
	if early != onTime {
		if _, err := io.CopyN(io.Discard, r.Body, earlyBytes); err != nil {
			return err
		}
		time.Sleep(workTime)
	} else if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return err
	}
	if early == rejectedEarly {
		i.fleet.rec.printf("instance %s rejects %s %s, id %s, early", i.id, r.Method, r.RequestURI, id)
		if _, err := fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", id); err != nil {
			return err
		}
		_, err := io.Copy(io.Discard, r.Body)
		return err
	}
	i.fleet.addRun(run{at: time.Now(), instance: i.id, id: id, method: r.Method, uri: r.RequestURI})
	i.fleet.rec.printf("instance %s runs %s %s, id %s, tenant %q, caller %q, answered early: %v", i.id, r.Method, r.RequestURI, id,
		r.Header.Get("Tenant"), r.Header.Get("Caller-Service"), early == answeredEarly)
	body := "answer to " + id + "\n"
	if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: %s.%s\r\nInstance-Load: 1,0,%d\r\nContent-Length: %d\r\n\r\n%s",
		id, i.id, id, instanceSlots, len(body), body); err != nil {
		return err
	}
	// The rest of a body is read later.
	_, err := io.Copy(io.Discard, r.Body)
	return err
}

// heartbeat returns the body of the next heartbeat.
func (i *instance) heartbeat(state string) []byte {
	text, _ := json.Marshal(map[string]any{
		"address": i.address(), "born": i.born,
		"info":   map[string]any{"service": i.host.service, "version": "v1", "zone": i.host.zone, "slots": i.slots},
		"status": map[string]any{"state": state, "seq": i.seq.Add(1), "warmup_left": "0ms"},
	})
	return text
}

// call makes one call of the instance to the control address of its host.
func (i *instance) call(name string, body []byte) error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Post("http://"+i.host.controlAddress+"/rpc?call="+name+"&of="+i.id, "application/json", bytes.NewReader(body))
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	return nil
}

// sendHeartbeats sends heartbeats until the instance leaves. One without an acknowledgement
// is repeated soon.
func (i *instance) sendHeartbeats() {
	for !i.silent.Load() {
		wait := heartbeatPeriod
		if i.call("instances.heartbeat", i.heartbeat("ready")) != nil {
			wait = 200 * time.Millisecond
		}
		select {
		case <-i.ended:
			return
		case <-time.After(wait):
		}
	}
}
