package sqmember

import (
	"bytes"
	"encoding/binary"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/wire/sqmemberwire"
)

const (
	// FactBytes bounds the body of a fact.
	FactBytes = 1 << 20
	// inlineBytes bounds a body that travels with its rumour.
	inlineBytes = 400
	nameBytes   = 128
	factsMost   = 1024
	tellersMost = 4
)

// facts are the named bodies that the fleet shares.
type facts struct {
	held     map[string]fact
	handlers map[string][]FactFunc
	fetching map[string]*fetching
	digest   uint64
	changed  time.Time
}

// FactFunc gets the versions of a fact in rising order. It must not modify
// the body.
type FactFunc func(version uint64, body []byte)

type fact struct {
	version uint64
	digest  uint64
	body    []byte
}

// fetching is a body under way; tellers are further addresses to ask.
type fetching struct {
	version uint64
	digest  uint64
	tellers []string
}

func (f fact) fold(name string) uint64 {
	b := binary.LittleEndian.AppendUint64([]byte(name+"\x00"), f.version)
	return xxhash.Sum64(b)
}

func (f fact) wire(name string) *sqmemberwire.Fact {
	w := f.summary(name)
	if len(f.body) <= inlineBytes {
		w.Body, w.Inline = f.body, true
	}
	return w
}

func (f fact) summary(name string) *sqmemberwire.Fact {
	return &sqmemberwire.Fact{Name: name, Version: f.version, Digest: f.digest, Size: uint32(len(f.body))}
}

// names returns the facts held without their bodies, in order of name.
func (s *facts) names() []*sqmemberwire.Fact {
	list := make([]*sqmemberwire.Fact, 0, len(s.held))
	for name, f := range s.held {
		list = append(list, f.summary(name))
	}
	return sortedFacts(list)
}

func sortedFacts(list []*sqmemberwire.Fact) []*sqmemberwire.Fact {
	slices.SortFunc(list, func(a, b *sqmemberwire.Fact) int { return strings.Compare(a.GetName(), b.GetName()) })
	return list
}

// newer returns the facts held that are newer than those given.
func (s *facts) newer(theirs []*sqmemberwire.Fact) []*sqmemberwire.Fact {
	versions := make(map[string]uint64, len(theirs))
	for _, f := range theirs {
		versions[f.GetName()] = f.GetVersion()
	}
	var list []*sqmemberwire.Fact
	for name, f := range s.held {
		if f.version > versions[name] {
			list = append(list, f.wire(name))
		}
	}
	return sortedFacts(list)
}

// Publish sets a fact and spreads it. It returns false and does nothing if
// the fact held is as new or newer. The body must not be modified afterwards.
func (m *Member) Publish(name string, version uint64, body []byte) (bool, error) {
	if name == "" || len(name) > nameBytes || len(body) > FactBytes || version == 0 {
		return false, errors.Errorf("fact %q of version %d with %d bytes is out of bounds", name, version, len(body))
	}
	var took bool
	m.change(func() {
		if took = version > m.facts.held[name].version; took {
			m.setFact(name, fact{version: version, digest: xxhash.Sum64(body), body: body}, source{from: m.self.ID})
		}
	})
	return took, nil
}

// Fact returns the version and body of a fact; the version is 0 if there is
// none.
func (m *Member) Fact(name string) (uint64, []byte) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f := m.facts.held[name]
	return f.version, f.body
}

// OnFact has f called with the fact held and with each newer version.
func (m *Member) OnFact(name string, f FactFunc) {
	m.change(func() {
		if m.facts.handlers == nil {
			m.facts.handlers = make(map[string][]FactFunc)
		}
		m.facts.handlers[name] = append(m.facts.handlers[name], f)
		if held, ok := m.facts.held[name]; ok {
			m.calls.add(func() { f(held.version, held.body) })
		}
	})
}

// acceptFact takes in a fact, or has its body fetched from who told of it.
func (m *Member) acceptFact(w *sqmemberwire.Fact, src source) {
	name := w.GetName()
	held, ok := m.facts.held[name]
	valid := name != "" && len(name) <= nameBytes && w.GetSize() <= FactBytes && len(w.GetBody()) <= inlineBytes
	if !valid || w.GetVersion() <= held.version || (!ok && len(m.facts.held) >= factsMost) {
		return
	}
	if !w.GetInline() {
		m.fetch(w, src.address)
		return
	}
	if f, ok := checked(w.GetVersion(), w.GetDigest(), w.GetBody()); ok {
		m.setFact(name, f, src)
	}
}

func checked(version, digest uint64, body []byte) (fact, bool) {
	return fact{version: version, digest: digest, body: bytes.Clone(body)}, xxhash.Sum64(body) == digest
}

func (m *Member) setFact(name string, f fact, src source) {
	if m.facts.held == nil {
		m.facts.held = make(map[string]fact)
	}
	if old, ok := m.facts.held[name]; ok {
		m.facts.digest ^= old.fold(name)
	}
	m.facts.held[name] = f
	m.facts.digest ^= f.fold(name)
	m.facts.changed = m.now
	if p := m.facts.fetching[name]; p != nil && p.version <= f.version {
		delete(m.facts.fetching, name)
	}
	for _, handler := range m.facts.handlers[name] {
		m.calls.add(func() { handler(f.version, f.body) })
	}
	r := rumour{key: "fact " + name, fact: f.wire(name)}
	m.rumours.put(r)
	if m.local(src) {
		m.relays.across = append(m.relays.across, r)
	}
}

// fetch asks for a body, or notes where else it is to be had.
func (m *Member) fetch(w *sqmemberwire.Fact, address string) {
	p := m.facts.fetching[w.GetName()]
	switch {
	case address == "":
	case p == nil || p.version < w.GetVersion():
		if m.facts.fetching == nil {
			m.facts.fetching = make(map[string]*fetching)
		}
		m.facts.fetching[w.GetName()] = &fetching{version: w.GetVersion(), digest: w.GetDigest()}
		m.askBody(w.GetName(), w.GetVersion(), address)
	case p.version == w.GetVersion() && len(p.tellers) < tellersMost && !slices.Contains(p.tellers, address):
		p.tellers = append(p.tellers, address)
	}
}

func (m *Member) askBody(name string, version uint64, address string) {
	req := &sqmemberwire.FetchRequest{Fleet: m.fleet, Name: name, Version: version}
	m.out = append(m.out, Send{Address: address, Fetch: req})
}

// Body returns the body that another daemon asks for, or false if this
// version of it is not held.
func (m *Member) Body(req *sqmemberwire.FetchRequest) ([]byte, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.start()
	f, ok := m.facts.held[req.GetName()]
	return f.body, ok && req.GetFleet() == m.fleet && f.version == req.GetVersion()
}

// Fetched takes in the answer to a Fetch that was sent to an address. A body
// that did not come or is not the right one is asked for elsewhere.
func (m *Member) Fetched(now time.Time, address string, req *sqmemberwire.FetchRequest, body []byte, err error) []Send {
	leave := m.enter(now)
	m.fetched(address, req, body, err)
	return leave()
}

func (m *Member) fetched(address string, req *sqmemberwire.FetchRequest, body []byte, err error) {
	name := req.GetName()
	p := m.facts.fetching[name]
	if p == nil || p.version != req.GetVersion() {
		return
	}
	if f, ok := checked(p.version, p.digest, body); ok && err == nil {
		m.setFact(name, f, m.sourceAt(address))
		return
	}
	if len(p.tellers) == 0 {
		delete(m.facts.fetching, name)
		return
	}
	next := p.tellers[0]
	p.tellers = p.tellers[1:]
	m.askBody(name, p.version, next)
}

// sourceAt finds the daemon with a peer address.
func (m *Member) sourceAt(address string) source {
	src := source{address: address}
	m.rows.Each(func(_ sqid.DaemonID, r Row) bool {
		if r.PeerAddress == address {
			src.from = r.ID
		}
		return src.from == ""
	})
	return src
}
