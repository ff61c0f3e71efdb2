package main

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// holeTime is how long clients upload, holeClients their number.
	holeTime    = 95 * time.Second
	holeClients = 24
	// rejectedShare is the share of its requests that one instance rejects.
	rejectedShare = 0.4
	// Uploads have between leastUpload and mostUpload bytes.
	leastUpload, mostUpload = 120 << 10, 320 << 10
	// mostReported bounds the lines about changed bodies.
	mostReported = 20
)

const holedUploadConfig = `{"version":"00000007",
"services":[{"name":"designs","health_path":"/health","max_connections":628,"protocol":"h1","tls":false}],
"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3000ms","idle_timeout":"15000ms"},
"tenants":[{"name":"taller","api_keys":["` + apiKey + `"],"priority":1,"rate_per_s":0,"burst":0}],
"virtual_hosts":[{"host":"designs.example","paths":[{"name":"r-designs","prefix":"/designs/","kind":"upload","timeout":"4000ms","target_latency":"1500ms","priority":1,"service":"designs","max_attempts":2,"public":false}]}]}`

// uploadSet counts the uploads of a case.
type uploadSet struct {
	next     atomic.Int64
	rejected atomic.Int64
	whole    atomic.Int64
	answers  sync.Map // status to *atomic.Int64

	mu      sync.Mutex
	changed []string
}

// holedUpload uploads files in chunks through one host. With trouble, the instance of that
// host rejects a share of them when it has read their heads, and reads on later.
func holedUpload(f *fleet) ([]string, error) {
	var u uploadSet
	for n := 1; n <= 2; n++ {
		h, err := f.addHost(fmt.Sprintf("designs-%d", n), fmt.Sprintf("z%d", n), "r1", "designs")
		if err != nil {
			return nil, err
		}
		rejects := f.trouble && n == 1
		h.instance.answers = func(c net.Conn, r *http.Request) error { return f.answerFile(&u, h.instance, rejects, c, r) }
	}
	if err := f.start(holedUploadConfig); err != nil {
		return nil, err
	}
	if err := f.awaitReady(15 * time.Second); err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second)
	end := time.Now().Add(holeTime)
	var clients sync.WaitGroup
	for range holeClients {
		clients.Go(func() {
			for time.Now().Before(end) {
				f.uploadChunks(&u, f.hosts[0])
			}
		})
	}
	clients.Wait()
	f.rec.printf("clients sent %d uploads, instances rejected %d and ran %d whole ones", u.next.Load(), u.rejected.Load(), u.whole.Load())
	u.answers.Range(func(status, n any) bool {
		f.rec.printf("clients got %v: %d times", status, n.(*atomic.Int64).Load())
		return true
	})
	return u.changed, nil
}

// designText has the texts of which files are parts.
var designText = func() []byte {
	var b []byte
	for n := 0; len(b) < 2*mostUpload; n++ {
		b = fmt.Appendf(b, "line %06d stitch 0001 0002 colour eagle-gold thread 40\n", n)
	}
	return b
}()

// fileOf returns the file of the n-th upload.
func fileOf(n, size int) []byte {
	from := n * 61 % mostUpload
	return designText[from : from+size]
}

// answerFile rejects an upload, or reads its body, compares it with the client's file and
// runs it.
func (f *fleet) answerFile(u *uploadSet, i *instance, rejects bool, c net.Conn, r *http.Request) error {
	id := r.Header.Get("Request-Id")
	if rejects && rand.Float64() < rejectedShare {
		u.rejected.Add(1)
		if _, err := fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: %s\r\nNot-Executed: 1\r\nInstance-Load: 1,0,%d\r\nContent-Length: 0\r\n\r\n", id, instanceSlots); err != nil {
			return err
		}
		_, err := io.Copy(io.Discard, r.Body)
		return err
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return err
	}
	var n, size int
	_, _ = fmt.Sscanf(id, "upload-%d-%d", &n, &size)
	if file := fileOf(n, size); bytes.Equal(body, file) {
		u.whole.Add(1)
	} else {
		same := 0
		for same < min(len(body), len(file)) && body[same] == file[same] {
			same++
		}
		u.mu.Lock()
		if len(u.changed) < mostReported {
			u.changed = append(u.changed, fmt.Sprintf("UNASKED: instance %s ran upload %s with %d of its %d bytes: %d are missing from byte %d on",
				i.id, id, len(body), size, size-len(body), same))
		}
		u.mu.Unlock()
	}
	answer := "stored " + id + "\n"
	_, err = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: %s.%s\r\nInstance-Load: 1,0,%d\r\nContent-Length: %d\r\n\r\n%s",
		id, i.id, id, instanceSlots, len(answer), answer)
	return err
}

// uploadChunks sends one upload in chunks, on a connection of its own.
func (f *fleet) uploadChunks(u *uploadSet, h *host) {
	c, err := dialClient(h)
	if err != nil {
		return
	}
	defer c.Close()
	size := leastUpload + rand.IntN(mostUpload-leastUpload)
	number := int(u.next.Add(1))
	id := fmt.Sprintf("upload-%d-%d", number, size)
	var text bytes.Buffer
	fmt.Fprintf(&text, "POST /designs/new HTTP/1.1\r\nHost: designs.example\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nAuthorization: Bearer %s\r\nTransfer-Encoding: chunked\r\n\r\n",
		id, callerTimeout.Milliseconds(), apiKey)
	fmt.Fprintf(&text, "%x\r\n%s\r\n0\r\n\r\n", size, fileOf(number, size))
	go func() { _, _ = c.Write(text.Bytes()) }()
	got, err := c.readAnswer(callerTimeout)
	status := fmt.Sprint(got.status)
	if err != nil {
		status = "no answer"
	}
	n, _ := u.answers.LoadOrStore(status, new(atomic.Int64))
	n.(*atomic.Int64).Add(1)
}
