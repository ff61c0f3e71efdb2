package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// smallMemoryMB is the memory of a machine's process, in the grown deployments; the
	// platform kills a process that exceeds it.
	smallMemoryMB = 184
	// manySlots is the number of slots of an instance there.
	manySlots = 108
	// endlessOf and endlessIn: so many of so many answers have no end.
	endlessOf = 2
	endlessIn = 5
	// endlessTime is how long the faulty instance sends bodies without end.
	endlessTime = 5 * time.Second
	// viewRate is the number of requests a second that the clients of the other machines
	// send to the faulty instance's service, viewChunk and viewPause how fast each of them
	// reads its answer.
	viewRate  = 100
	viewChunk = 64 << 10
	viewPause = 100 * time.Millisecond
	// viewTimeout is their route's timeout.
	viewTimeout = 4 * time.Second
	// designClients is the number of clients with kept connections that send to a sound
	// service, and designWork the time that this takes.
	designClients = 12
	designWork    = 300 * time.Millisecond
)

// viewMachines are the machines whose clients read from the faulty instance.
var viewMachines = []string{"side-2", "side-3", "side-4"}

// endlessBody has the clients of three machines read from an instance on a fourth, whose
// own clients send to a sound service. With the disruption, that instance sends
// some bodies that don't end until their caller closes the connection.
func endlessBody(r *record, root string, trouble, keepLogs bool) ([]string, error) {
	specs := []spec{
		{"side-1", "puebla-centro", "puebla", "orders", smallMemoryMB},
		{"side-2", "puebla-centro", "puebla", "designs", smallMemoryMB},
		{"side-3", "puebla-norte", "puebla", "designs", smallMemoryMB},
		{"side-4", "puebla-norte", "puebla", "tracking", smallMemoryMB},
	}
	routes := []route{
		{prefix: "/order/", kind: "safe", service: "orders", timeout: viewTimeout, attempts: 2},
		{prefix: "/design/", kind: "unsafe", service: "designs", timeout: viewTimeout, attempts: 2},
	}
	f, err := newFleet(r, root, specs, []string{"orders", "tracking", "designs"}, routes)
	if err != nil {
		return nil, err
	}
	defer f.stop(keepLogs)
	if err := f.startAll(); err != nil {
		return nil, err
	}
	var faulty atomic.Bool
	var arrivals atomic.Int64
	stop := make(chan struct{})
	defer close(stop)
	var sound []*instance
	for _, s := range specs {
		i, err := newInstance(r, "i-"+s.name, f.machines[s.name], 20*time.Millisecond)
		if err != nil {
			return nil, err
		}
		i.slots = manySlots
		switch s.service {
		case "designs":
			i.work = designWork
			sound = append(sound, i)
		case "orders":
			i.endless = func() bool { return faulty.Load() && arrivals.Add(1)%endlessIn < endlessOf }
		}
		go i.announce(stop)
	}
	time.Sleep(stable + time.Second)

	end := make(chan struct{})
	var clients, watches sync.WaitGroup
	ends := make(map[string]*atomic.Int64)
	for name, m := range f.machines {
		ends[name] = new(atomic.Int64)
		watches.Go(func() { f.limitMemory(m, end, ends[name]) })
	}
	clients.Go(func() { f.readOpenLoop(end, &clients) })
	var mu sync.Mutex
	var answers []sent
	for range designClients {
		clients.Go(func() {
			c := &client{record: r, machine: f.machines["side-1"]}
			defer c.close()
			taken := c.repeat(end, http.MethodPost, "/design/x", time.Millisecond)
			mu.Lock()
			defer mu.Unlock()
			answers = append(answers, taken...)
		})
	}
	time.Sleep(stable)
	if trouble {
		r.add("the instance of orders sends some bodies without end from here, for %v", endlessTime)
		faulty.Store(true)
	}
	time.Sleep(endlessTime)
	faulty.Store(false)
	time.Sleep(time.Second)
	close(end)
	clients.Wait()
	watches.Wait()
	time.Sleep(time.Second)
	return checkKept(answers, sound, ends["side-1"].Load())
}

// limitMemory kills a machine's daemon each time it exceeds the memory of its machine, as
// the platform does, and starts it again.
func (f *fleet) limitMemory(m *machine, end <-chan struct{}, ends *atomic.Int64) {
	most := 0
	defer func() {
		f.add("daemon of %s: at most %d MB, killed %d times", m.name, most/1e6, ends.Load())
	}()
	for {
		select {
		case <-end:
			return
		case <-time.After(20 * time.Millisecond):
		}
		used := residentBytes(m.process.Process.Pid)
		most = max(most, used)
		if used <= smallMemoryMB*1_000_000 {
			continue
		}
		f.add("daemon of %s uses %d MB, more than the %d MB of its machine", m.name, used/1e6, smallMemoryMB)
		ends.Add(1)
		f.signal(m.name, syscall.SIGKILL)
		<-m.exited
		time.Sleep(restartDelay)
		if err := f.start(m.name); err != nil {
			f.add("%v", err)
			return
		}
	}
}

// residentBytes returns the resident memory of a process without the pages of files, 0 if
// it has ended.
func residentBytes(pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(text), "\n") {
		if value, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kB, _ := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(value), " kB"))
			return kB * 1024
		}
	}
	return 0
}

// readOpenLoop sends viewRate requests a second until end is closed, each on a connection
// of its own.
func (f *fleet) readOpenLoop(end <-chan struct{}, clients *sync.WaitGroup) {
	ticker := time.NewTicker(time.Second / viewRate)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-end:
			return
		case <-ticker.C:
		}
		m := f.machines[viewMachines[n%len(viewMachines)]]
		clients.Go(func() { f.readSlowly(m, "/order/x") })
	}
}

// readSlowly sends one request and reads its answer a chunk at a time.
func (f *fleet) readSlowly(m *machine, path string) {
	conn, err := net.DialTimeout("tcp", m.address(portOutbound), time.Second)
	if err != nil {
		return
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(viewTimeout + time.Second))
	id := fmt.Sprintf("%016x", time.Now().UnixNano())
	f.add("client of %s: sends %s (GET %s)", m.name, id, path)
	fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: hulo84.example\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nAuthorization: Bearer %s\r\nConnection: close\r\n\r\n",
		path, id, (viewTimeout + time.Second).Milliseconds(), apiKey)
	chunk, size := make([]byte, viewChunk), 0
	for {
		n, err := conn.Read(chunk)
		size += n
		if err != nil {
			if err != io.EOF {
				f.add("client of %s: %s ended after %d bytes: %v", m.name, id, size, err)
			}
			return
		}
		time.Sleep(viewPause)
	}
}

// checkKept checks that no more than three requests from kept connections that had been
// passed on to a sound instance ended without an answer, while the daemon ended by itself.
func checkKept(answers []sent, sound []*instance, ends int64) ([]string, error) {
	passedOn := make(map[string]string)
	for _, i := range sound {
		for _, x := range i.startedRuns() {
			passedOn[x.id] = i.id
		}
	}
	var cut []string
	served := 0
	for _, s := range answers {
		if s.status == http.StatusOK {
			served++
		}
		if s.status == 0 && passedOn[s.id] != "" && ends > 0 && s.kept {
			cut = append(cut, fmt.Sprintf("LOST: %s, passed on to %s, got no answer: %v", s.id, passedOn[s.id], s.err))
		}
	}
	if served == 0 {
		return nil, fmt.Errorf("no request was served")
	}
	if len(cut) <= 3 {
		return nil, nil
	}
	return cut, nil
}
