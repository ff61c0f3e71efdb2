package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// maxWait is the longest time for which the store holds a watch open.
const maxWait = 30 * time.Second

// item is a key of the store, or an event that wrote or removed it.
type item struct {
	Key        string `json:"key"`
	Value      []byte `json:"value,omitempty"`
	Revision   int64  `json:"revision"`
	CreatedRev int64  `json:"created_rev,omitempty"`
	Lease      int64  `json:"lease"`
	Tombstone  bool   `json:"tombstone,omitempty"`
}

// store is a stand-in of the platform's metadata store. Daemons use no leases on this
// platform, so it grants none.
type store struct {
	mu       sync.Mutex
	revision int64
	items    map[string]item
	history  []item
	changed  chan struct{}
}

func newStore() *store {
	return &store{revision: 1, items: make(map[string]item), changed: make(chan struct{})}
}

// put writes a key, as the operator does.
func (s *store) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(item{Key: key, Value: value})
}

func (s *store) apply(i item) {
	s.revision++
	i.Revision = s.revision
	if i.Tombstone {
		delete(s.items, i.Key)
	} else {
		if i.CreatedRev = i.Revision; s.items[i.Key].CreatedRev > 0 {
			i.CreatedRev = s.items[i.Key].CreatedRev
		}
		s.items[i.Key] = i
	}
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) serve(l net.Listener) { _ = http.Serve(l, s) }

// ServeHTTP serves the store's calls.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.Method + " " + r.URL.Path {
	case "GET /kv-key":
		s.get(w, r)
	case "GET /kv-range":
		s.list(w, r)
	case "GET /kv-watch":
		s.watch(w, r)
	case "POST /kv-txn":
		s.txn(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	i, ok := s.items[r.URL.Query().Get("key")]
	revision := s.revision
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, http.StatusOK, struct {
		item
		AsOf int64 `json:"as_of"`
	}{i, revision})
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, r.URL.Query().Get("prefix")) && key > r.URL.Query().Get("after") {
			items = append(items, i)
		}
	}
	sort.Slice(items, func(a, b int) bool { return items[a].Key < items[b].Key })
	reply(w, http.StatusOK, map[string]any{"items": items, "truncated": false, "as_of": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	ms, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	deadline := time.After(min(maxWait, time.Duration(ms)*time.Millisecond))
	for {
		s.mu.Lock()
		events := []item{}
		for _, e := range s.history {
			if e.Revision > after && strings.HasPrefix(e.Key, r.URL.Query().Get("prefix")) {
				events = append(events, e)
			}
		}
		changed, revision := s.changed, s.revision
		s.mu.Unlock()
		ended := len(events) > 0
		if !ended {
			select {
			case <-changed:
			case <-deadline:
				ended = true
			case <-r.Context().Done():
				return
			}
		}
		if ended {
			reply(w, http.StatusOK, map[string]any{"events": events, "as_of": revision})
			return
		}
	}
}

func (s *store) txn(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Expected []item   `json:"expected"`
		Puts     []item   `json:"puts"`
		Remove   []string `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range t.Expected {
		if s.items[e.Key].Revision == e.Revision {
			continue
		}
		current := []item{}
		for _, e := range t.Expected {
			if i, ok := s.items[e.Key]; ok {
				current = append(current, i)
			}
		}
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, p := range t.Puts {
		s.apply(item{Key: p.Key, Value: p.Value})
	}
	for _, key := range t.Remove {
		s.apply(item{Key: key, Tombstone: true})
	}
	reply(w, http.StatusOK, map[string]any{"revision": s.revision})
}
