package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

// requestDeadline is how long clients wait for an answer.
const requestDeadline = 5 * time.Second

// sent is one client attempt. status is 0 if no complete answer came.
type sent struct {
	id     string
	at     time.Time
	ended  time.Time
	status int
	body   string
	signed bool
	// kept is set if the connection had served a request before.
	kept bool
	err  error
}

// client sends requests on one kept connection to a machine's outbound address.
type client struct {
	*record
	machine *machine
	conn    net.Conn
	in      *bufio.Reader
	// used is set once the connection has served a request.
	used bool
}

// send sends one request and reads its answer. It opens a connection if there is none;
// an error of that leaves sent.id empty.
func (c *client) send(method, path string, deadline time.Duration) sent {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.machine.address(portOutbound), time.Second)
		if err != nil {
			return sent{err: err}
		}
		c.conn, c.in, c.used = conn, bufio.NewReader(conn), false
	}
	s := sent{id: fmt.Sprintf("%016x", rand.Uint64()), at: time.Now(), kept: c.used}
	_ = c.conn.SetDeadline(s.at.Add(deadline))
	body := ""
	if method == http.MethodPost {
		body = "order\n"
	}
	c.add("client of %s: sends %s (%s %s)", c.machine.name, s.id, method, path)
	_, err := fmt.Fprintf(c.conn, "%s %s HTTP/1.1\r\nHost: hulo84.example\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
		method, path, s.id, deadline.Milliseconds(), apiKey, len(body), body)
	var resp *http.Response
	if err == nil {
		resp, err = http.ReadResponse(c.in, nil)
	}
	var text []byte
	if err == nil {
		text, err = io.ReadAll(resp.Body)
	}
	s.ended, s.err = time.Now(), err
	if err != nil {
		c.add("client of %s: %s ended without a complete answer: %v", c.machine.name, s.id, err)
		c.close()
		return s
	}
	c.used = true
	s.status, s.body, s.signed = resp.StatusCode, string(text), resp.Header.Get("Response-Signature") != ""
	c.add("client of %s: %s got %d, signature %v, body %q", c.machine.name, s.id, s.status, s.signed, s.body)
	if resp.Close {
		c.close()
	}
	return s
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// repeat sends requests one after another until end is closed, and returns those that a
// daemon took.
func (c *client) repeat(end <-chan struct{}, method, path string, pause time.Duration) []sent {
	var answers []sent
	for {
		select {
		case <-end:
			return answers
		case <-time.After(pause):
		}
		if s := c.send(method, path, requestDeadline); s.id != "" {
			answers = append(answers, s)
		}
	}
}
