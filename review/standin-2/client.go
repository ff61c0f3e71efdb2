package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// clientConn is a connection that a client keeps open for many requests.
type clientConn struct {
	net.Conn
	br *bufio.Reader
}

func dialClient(h *host) (*clientConn, error) {
	c, err := net.DialTimeout("tcp", h.callerAddress, time.Second)
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: c, br: bufio.NewReader(c)}, nil
}

// answer is what a client gets for a request.
type answer struct {
	status    int
	id        string
	signature string
	body      string
	// retryAfter is the time after which the client is to come back.
	retryAfter time.Duration
}

func (a answer) String() string {
	return fmt.Sprintf("%d, id %q, signature %q, body %q", a.status, a.id, a.signature, a.body)
}

// readAnswer reads the next answer, for at most the given time.
func (c *clientConn) readAnswer(limit time.Duration) (answer, error) {
	_ = c.SetReadDeadline(time.Now().Add(limit))
	defer func() { _ = c.SetReadDeadline(time.Time{}) }()
	if _, err := c.br.Peek(1); err != nil {
		return answer{}, err
	}
	_ = c.SetReadDeadline(time.Now().Add(2 * time.Second))
	resp, err := http.ReadResponse(c.br, nil)
	if err != nil {
		return answer{}, err
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return answer{}, err
	}
	seconds, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	return answer{
		retryAfter: min(time.Duration(seconds*float64(time.Second)), callerTimeout/3),
		status:     resp.StatusCode, id: resp.Header.Get("Request-Id"), signature: resp.Header.Get("Response-Signature"),
		body: strings.TrimSpace(string(body)),
	}, nil
}

// head returns the head of a request. length is that of the body.
func head(method, hostName, path, id string, length int) string {
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nAuthorization: Bearer %s\r\n",
		method, path, hostName, id, callerTimeout.Milliseconds(), apiKey)
	if length > 0 || method == http.MethodPost {
		text += fmt.Sprintf("Content-Length: %d\r\n", length)
	}
	return text + "\r\n"
}
