package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

const (
	apiKey = "6wsjnbanfqasnmgkcuyj"
	// uploads is the number of files that clients upload, one after the other.
	uploads = 5
	// fileBytes is the size of a file, blockBytes that of a record in it, and pieceBytes
	// what a client writes at once.
	fileBytes  = 16 << 20
	blockBytes = 1 << 10
	pieceBytes = 32 << 10
	// piecePause is the time between two writes of a client.
	piecePause = time.Millisecond
	// callerTimeout is the time that a client allows for a request.
	callerTimeout = 4 * time.Second
)

const earlyAnswerConfig = `{"version":"00000007",
"services":[{"name":"designs","health_path":"/health","max_connections":628,"protocol":"h1","tls":false},{"name":"orders","health_path":"/health","max_connections":628,"protocol":"h1","tls":false}],
"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3000ms","idle_timeout":"15000ms"},
"tenants":[{"name":"taller","api_keys":["` + apiKey + `"],"priority":1,"rate_per_s":99,"burst":99}],
"virtual_hosts":[
{"host":"designs.example","paths":[{"name":"r-designs","prefix":"/designs/","kind":"upload","timeout":"4000ms","target_latency":"1500ms","priority":1,"service":"designs","max_attempts":2,"public":false}]},
{"host":"orders.example","paths":[{"name":"r-orders","prefix":"/orders/","kind":"unsafe","timeout":"4000ms","target_latency":"1500ms","priority":0,"service":"orders","max_attempts":2,"public":false}]}]}`

// earlyAnswer uploads files on kept connections. With trouble, the instance answers one of
// five uploads and rejects another before it has read their bodies, and reads on later. The files hold records
// of requests; no client sends these.
func earlyAnswer(f *fleet) ([]string, error) {
	designs, err := f.addHost("designs-1", "z1", "r1", "designs")
	if err != nil {
		return nil, err
	}
	if _, err := f.addHost("orders-1", "z2", "r1", "orders"); err != nil {
		return nil, err
	}
	if f.trouble {
		designs.instance.answersEarly = func(r *http.Request) timing {
			return map[string]timing{"/designs/2": answeredEarly, "/designs/4": rejectedEarly}[r.RequestURI]
		}
	}
	if err := f.start(earlyAnswerConfig); err != nil {
		return nil, err
	}
	if err := f.awaitReady(15 * time.Second); err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second)
	sent := make(map[string]bool)
	var broken []string
	for n := 1; n <= uploads; n++ {
		lines, err := f.upload(designs, n, sent)
		if err != nil {
			return nil, err
		}
		broken = append(broken, lines...)
	}
	time.Sleep(time.Second)
	for _, r := range f.allRuns() {
		if !sent[r.id] {
			broken = append(broken, fmt.Sprintf("UNASKED: instance %s ran %s %s, id %s, which no client sent", r.instance, r.method, r.uri, r.id))
		}
	}
	return broken, nil
}

// upload sends one file and then a small request on the same connection. It returns the
// answers that belong to other requests.
func (f *fleet) upload(h *host, n int, sent map[string]bool) ([]string, error) {
	c, err := dialClient(h)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	id, file := fmt.Sprintf("upload-%d", n), fileOfRecords(n)
	sent[id] = true
	f.rec.printf("client sends POST /designs/%d, id %s, %d bytes", n, id, len(file))
	if _, err := c.Write([]byte(head(http.MethodPost, "designs.example", fmt.Sprintf("/designs/%d", n), id, len(file)))); err != nil {
		return nil, err
	}
	// The client goes on sending the body, whether or not the answer has come.
	written := make(chan error, 1)
	go func() { written <- c.writePieces(file) }()
	got, err := c.readAnswer(callerTimeout)
	if err != nil {
		return nil, fmt.Errorf("upload %s got no answer: %w", id, err)
	}
	f.rec.printf("client gets for %s: %v", id, got)
	if got.status != http.StatusOK && got.status != http.StatusServiceUnavailable || got.id != id {
		return nil, fmt.Errorf("upload %s was answered with %v", id, got)
	}
	if err := <-written; err != nil {
		f.rec.printf("client: connection closed while it sent the body: %v", err)
		return nil, nil
	}
	return f.sendNext(c, n, sent), nil
}

// writePieces writes a body in pieces.
func (c *clientConn) writePieces(file string) error {
	for len(file) > 0 {
		n := min(pieceBytes, len(file))
		if _, err := c.Write([]byte(file[:n])); err != nil {
			return err
		}
		file = file[n:]
		time.Sleep(piecePause)
	}
	return nil
}

// sendNext sends a small request on a kept connection.
func (f *fleet) sendNext(c *clientConn, n int, sent map[string]bool) []string {
	id := fmt.Sprintf("next-%d", n)
	sent[id] = true
	f.rec.printf("client sends GET /designs/list-%d, id %s, on the same connection", n, id)
	if _, err := c.Write([]byte(head(http.MethodGet, "designs.example", fmt.Sprintf("/designs/list-%d", n), id, 0))); err != nil {
		f.rec.printf("client: connection closed: %v", err)
		return nil
	}
	got, err := c.readAnswer(callerTimeout)
	if err != nil {
		f.rec.printf("client gets no answer for %s: %v", id, err)
		return nil
	}
	f.rec.printf("client gets for %s: %v", id, got)
	if got.id != "" && got.id != id {
		return []string{fmt.Sprintf("MIXED: the client's request %s got the answer to %s", id, got.id)}
	}
	return nil
}

// fileOfRecords returns a file of records of blockBytes. Each is the text of a request,
// whose body is the rest of the file.
func fileOfRecords(n int) string {
	var b strings.Builder
	for at := blockBytes; at <= fileBytes; at += blockBytes {
		text := head(http.MethodPost, "orders.example", "/orders/new", fmt.Sprintf("record-%d-%d", n, at/blockBytes), fileBytes-at)
		// Padding before the empty line makes the record as long as the others.
		const pad = "Note: "
		text = text[:len(text)-2] + pad + strings.Repeat("x", blockBytes-len(text)-len(pad)-2) + "\r\n\r\n"
		b.WriteString(text)
	}
	return b.String()
}
