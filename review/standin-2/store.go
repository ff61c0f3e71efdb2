package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in of the platform's metadata store.
type store struct {
	mu       sync.Mutex
	revision int64
	items    map[string]storeItem
	leases   map[int64]*time.Timer
	history  []storeItem
	changed  chan struct{}
	// busy makes the store answer 503 to every call: nothing was done.
	busy     bool
	listener net.Listener
	server   *http.Server
}

type storeItem struct {
	Key        string `json:"key"`
	Value      []byte `json:"value"`
	Revision   int64  `json:"revision"`
	CreatedRev int64  `json:"created_rev"`
	Lease      int64  `json:"lease"`
	Tombstone  bool   `json:"tombstone,omitempty"`
}

type storeTxn struct {
	Expected []struct {
		Key      string `json:"key"`
		Revision int64  `json:"revision"`
	} `json:"expected"`
	Puts []struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
		Lease int64  `json:"lease"`
	} `json:"puts"`
	Remove []string `json:"remove"`
}

func startStore(address string) (*store, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &store{
		revision: 1, items: make(map[string]storeItem), leases: make(map[int64]*time.Timer),
		changed: make(chan struct{}), listener: l,
	}
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

func (s *store) address() string { return s.listener.Addr().String() }

func (s *store) close() { _ = s.server.Close() }

// setBusy makes the store answer 503, or serve again. Waiting watches are cut.
func (s *store) setBusy(busy bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy = busy
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a key as the operator does.
func (s *store) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(storeItem{Key: key, Value: value})
	s.wake()
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// apply applies one change; mu is held.
func (s *store) apply(i storeItem) {
	s.revision++
	i.Revision = s.revision
	if i.Tombstone {
		delete(s.items, i.Key)
	} else {
		i.CreatedRev = s.revision
		if old, ok := s.items[i.Key]; ok {
			i.CreatedRev = old.CreatedRev
		}
		s.items[i.Key] = i
	}
	s.history = append(s.history, i)
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.busy {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	q := r.URL.Query()
	switch {
	case r.URL.Path == "/kv-key":
		i, ok := s.items[q.Get("key")]
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		reply(w, struct {
			storeItem
			AsOf int64 `json:"as_of"`
		}{i, s.revision})
	case r.URL.Path == "/kv-range":
		items := []storeItem{}
		for _, i := range s.items {
			if strings.HasPrefix(i.Key, q.Get("prefix")) && i.Key > q.Get("after") {
				items = append(items, i)
			}
		}
		slices.SortFunc(items, func(a, b storeItem) int { return strings.Compare(a.Key, b.Key) })
		reply(w, map[string]any{"items": items, "truncated": false, "as_of": s.revision})
	case r.URL.Path == "/kv-watch":
		s.watch(w, r)
	case r.URL.Path == "/kv-txn" && r.Method == http.MethodPost:
		s.txn(w, r)
	case r.URL.Path == "/kv-lease" && r.Method == http.MethodPost:
		var body struct {
			TTL string `json:"ttl_time"`
		}
		_ = json.NewDecoder(r.Body).Decode(&body)
		ttl, err := time.ParseDuration(body.TTL)
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		s.revision++
		id := s.revision
		s.leases[id] = time.AfterFunc(ttl, func() { s.endLease(id) })
		reply(w, map[string]any{"lease": id, "ttl_time": body.TTL})
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) endLease(id int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.apply(storeItem{Key: key, Tombstone: true})
		}
	}
	s.wake()
}

// watch answers as soon as there are events; mu is held, but not while it waits.
func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		events := []storeItem{}
		for _, e := range s.history {
			if e.Revision > after && strings.HasPrefix(e.Key, r.URL.Query().Get("prefix")) {
				events = append(events, e)
			}
		}
		if s.busy {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if len(events) > 0 {
			reply(w, map[string]any{"events": events, "as_of": s.revision})
			return
		}
		changed := s.changed
		s.mu.Unlock()
		ended := false
		select {
		case <-changed:
		case <-deadline:
			ended = true
		case <-r.Context().Done():
			ended = true
		}
		s.mu.Lock()
		if ended {
			reply(w, map[string]any{"events": events, "as_of": s.revision})
			return
		}
	}
}

func (s *store) txn(w http.ResponseWriter, r *http.Request) {
	var t storeTxn
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	current := []storeItem{}
	failed := false
	for _, e := range t.Expected {
		current = append(current, s.items[e.Key])
		failed = failed || s.items[e.Key].Revision != e.Revision
	}
	if failed {
		w.WriteHeader(http.StatusPreconditionFailed)
		_ = json.NewEncoder(w).Encode(map[string]any{"items": current})
		return
	}
	for _, p := range t.Puts {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	for _, p := range t.Puts {
		s.apply(storeItem{Key: p.Key, Value: p.Value, Lease: p.Lease})
	}
	for _, key := range t.Remove {
		s.apply(storeItem{Key: key, Tombstone: true})
	}
	s.wake()
	reply(w, map[string]any{"revision": s.revision})
}

func reply(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}
