package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

const (
	// cutUploads is the number of uploads; one of cutEvery is answered without a length and
	// early, and with trouble its connection is reset in the middle of the answer.
	cutUploads = 200
	cutEvery   = 20
	// cutUploadBytes is the size of an upload, cutAnswerBytes that of an answer's body.
	cutUploadBytes = 8 << 20
	cutAnswerBytes = 20_000
	// answerPause is the time between the halves of an answer without a length.
	answerPause = 50 * time.Millisecond
)

const cutAnswerConfig = `{"version":"00000007",
"services":[{"name":"designs","health_path":"/health","max_connections":628,"protocol":"h1","tls":false},{"name":"orders","health_path":"/health","max_connections":628,"protocol":"h1","tls":false}],
"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3000ms","idle_timeout":"15000ms"},
"tenants":[{"name":"taller","api_keys":["` + apiKey + `"],"priority":1,"rate_per_s":99,"burst":99}],
"virtual_hosts":[{"host":"designs.example","paths":[{"name":"r-designs","prefix":"/designs/","kind":"upload","timeout":"4000ms","target_latency":"1500ms","priority":1,"service":"designs","max_attempts":2,"public":false}]}]}`

// cutAnswer uploads files, each on a connection of its own. With trouble, the connection of
// one of twenty answers is reset when half of the answer has been sent.
func cutAnswer(f *fleet) ([]string, error) {
	designs, err := f.addHost("designs-1", "z1", "r1", "designs")
	if err != nil {
		return nil, err
	}
	if _, err := f.addHost("orders-1", "z2", "r1", "orders"); err != nil {
		return nil, err
	}
	designs.instance.answers = func(c net.Conn, r *http.Request) error { return f.answerUpload(designs.instance, c, r) }
	if err := f.start(cutAnswerConfig); err != nil {
		return nil, err
	}
	if err := f.awaitReady(15 * time.Second); err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second)
	file := strings.Repeat("stitch 0001 0002 0003 colour eagle-gold thread 40 tension 3.5 \n", cutUploadBytes/63+1)[:cutUploadBytes]
	var broken []string
	for n := 1; n <= cutUploads; n++ {
		line, err := f.uploadOnce(designs, fmt.Sprintf("upload-%03d", n), file)
		if err != nil {
			return nil, err
		}
		if line != "" {
			broken = append(broken, line)
		}
	}
	return broken, nil
}

// wholeBody returns the body of the answer to a request.
func wholeBody(id string) string {
	return strings.Repeat(id+" is stored\n", cutAnswerBytes)[:cutAnswerBytes]
}

// isUnframed reports whether the answer to an upload has no length.
func isUnframed(id string) bool {
	var n int
	_, _ = fmt.Sscanf(id, "upload-%d", &n)
	return n%cutEvery == 0
}

// errEnded ends a connection after an answer without a length.
var errEnded = errors.New("the answer ends with its connection")

// answerUpload answers one upload. An answer without a length begins before the body is in.
func (f *fleet) answerUpload(i *instance, c net.Conn, r *http.Request) error {
	id := r.Header.Get("Request-Id")
	f.addRun(run{at: time.Now(), instance: i.id, id: id, method: r.Method, uri: r.RequestURI})
	body := wholeBody(id)
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: %s.%s\r\nInstance-Load: 1,0,%d\r\n", id, i.id, id, instanceSlots)
	if !isUnframed(id) {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return err
		}
		_, err := fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
		return err
	}
	if _, err := io.CopyN(io.Discard, r.Body, earlyBytes); err != nil {
		return err
	}
	if _, err := fmt.Fprintf(c, "%sConnection: close\r\n\r\n%s", head, body[:len(body)/2]); err != nil {
		return err
	}
	time.Sleep(answerPause)
	tcp, _ := c.(*net.TCPConn)
	if f.trouble {
		f.rec.printf("instance %s: the connection of %s is reset after %d of %d bytes of the answer", i.id, id, len(body)/2, len(body))
		_ = tcp.SetLinger(0)
		return errEnded
	}
	if _, err := io.WriteString(c, body[len(body)/2:]); err != nil {
		return err
	}
	_ = tcp.CloseWrite()
	// The rest of the body is read later.
	_, _ = io.Copy(io.Discard, r.Body)
	return errEnded
}

// uploadOnce sends one upload. It returns what broke the rule, if anything did.
func (f *fleet) uploadOnce(h *host, id, file string) (string, error) {
	c, err := dialClient(h)
	if err != nil {
		return "", err
	}
	defer c.Close()
	go func() {
		_, _ = io.WriteString(c, head(http.MethodPost, "designs.example", "/designs/"+id, id, len(file)))
		_, _ = io.WriteString(c, file)
	}()
	_ = c.SetReadDeadline(time.Now().Add(callerTimeout + time.Second))
	resp, err := http.ReadResponse(c.br, nil)
	if err != nil {
		f.rec.printf("client gets no answer for %s: %v", id, err)
		return "", nil
	}
	got, err := io.ReadAll(resp.Body)
	signature := resp.Header.Get("Response-Signature")
	f.rec.printf("client gets for %s: %d, id %s, signature %q, Transfer-Encoding %v, Content-Length %d, body of %d bytes, error %v",
		id, resp.StatusCode, resp.Header.Get("Request-Id"), signature, resp.TransferEncoding, resp.ContentLength, len(got), err)
	if err == nil && resp.StatusCode == http.StatusOK && string(got) != wholeBody(id) {
		return fmt.Sprintf("MIXED: %s was answered 200, complete, with %d of the %d bytes of the instance's body", id, len(got), cutAnswerBytes), nil
	}
	return "", nil
}
