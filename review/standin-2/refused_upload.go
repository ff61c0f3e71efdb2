package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// usualClients upload all the time; burstClients more do with trouble, so that there are
	// 1.8 times as many.
	usualClients, burstClients = 15, 12
	// uploadTime is how long clients upload.
	uploadTime = 6 * time.Second
	// refusedSlots are the slots of the instance, refusedWork is what it works on an upload.
	refusedSlots = 12
	refusedWork  = 110 * time.Millisecond
	// refusedBytes is the size of an upload, firstPart the offset of the record in it.
	refusedBytes = 360_000
	firstPart    = 64 << 10
)

// refusedUpload has clients upload files on kept connections. With trouble, a burst of
// further clients does too, so that the daemon refuses some uploads. Each file holds the
// record of a request, which no client sends.
func refusedUpload(f *fleet) ([]string, error) {
	designs, err := f.addHost("designs-1", "z1", "r1", "designs")
	if err != nil {
		return nil, err
	}
	if _, err := f.addHost("orders-1", "z2", "r1", "orders"); err != nil {
		return nil, err
	}
	designs.instance.slots = refusedSlots
	designs.instance.answers = func(c net.Conn, r *http.Request) error {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return err
		}
		id := r.Header.Get("Request-Id")
		f.addRun(run{at: time.Now(), instance: designs.instance.id, id: id, method: r.Method, uri: r.RequestURI})
		time.Sleep(refusedWork)
		_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: s.%s\r\nInstance-Load: 1,0,%d\r\nContent-Length: 7\r\n\r\nstored\n", id, id, refusedSlots)
		return err
	}
	if err := f.start(strings.Replace(earlyAnswerConfig, `"rate_per_s":99`, `"rate_per_s":0`, 1)); err != nil {
		return nil, err
	}
	if err := f.awaitReady(15 * time.Second); err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second)
	var u refusedUploads
	var clients sync.WaitGroup
	end := time.Now().Add(uploadTime)
	n := usualClients
	if f.trouble {
		n += burstClients
	}
	for i := range n {
		clients.Go(func() {
			if i >= usualClients {
				time.Sleep(uploadTime / 3)
			}
			for k := 0; time.Now().Before(end); k++ {
				f.uploadKept(&u, designs, fmt.Sprintf("%d-%d", i, k), end)
			}
		})
	}
	clients.Wait()
	time.Sleep(time.Second)
	f.rec.printf("clients sent %d uploads: %v", len(u.sent), u.statuses)
	for _, r := range f.allRuns() {
		if !u.sent[r.id] {
			u.broken = append(u.broken, fmt.Sprintf("UNASKED: instance %s ran %s %s, id %s, which no client sent", r.instance, r.method, r.uri, r.id))
		}
	}
	return u.broken, nil
}

type refusedUploads struct {
	mu       sync.Mutex
	sent     map[string]bool
	statuses map[int]int
	broken   []string
}

func (u *refusedUploads) note(f func()) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.sent == nil {
		u.sent, u.statuses = make(map[string]bool), make(map[int]int)
	}
	f()
}

// uploadKept uploads files on one connection until it ends.
func (f *fleet) uploadKept(u *refusedUploads, h *host, name string, end time.Time) {
	c, err := dialClient(h)
	if err != nil {
		return
	}
	defer c.Close()
	for n := 0; time.Now().Before(end); n++ {
		id := fmt.Sprintf("upload-%s-%d", name, n)
		u.note(func() { u.sent[id] = true })
		file := fileWithRecord(id)
		if _, err := c.Write([]byte(head(http.MethodPost, "designs.example", "/designs/new", id, len(file)) + file)); err != nil {
			return
		}
		got, err := c.readAnswer(callerTimeout)
		if err != nil {
			return
		}
		u.note(func() {
			u.statuses[got.status]++
			if got.id != "" && got.id != id {
				u.broken = append(u.broken, fmt.Sprintf("MIXED: the client's request %s got the answer to %s: %d", id, got.id, got.status))
			}
		})
		if got.status != http.StatusOK {
			f.rec.printf("client gets for %s: %v", id, got)
		}
		if got.id != id {
			return
		}
		time.Sleep(got.retryAfter)
	}
}

// fileWithRecord returns a file with the record of a request, whose body is the rest.
func fileWithRecord(id string) string {
	const line = "stitch 0001 0002 0003 colour eagle-gold thread 40 tension 3.5 \n"
	filler := strings.Repeat(line, refusedBytes/len(line)+1)
	rest, text := refusedBytes-firstPart, ""
	for range 3 {
		text = head(http.MethodPost, "orders.example", "/orders/new", "record-of-"+id, rest-len(text))
	}
	return filler[:firstPart] + text + filler[:rest-len(text)]
}
