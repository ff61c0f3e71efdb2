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
	// MaxFactBytes bounds the body of a fact.
	MaxFactBytes = 1 << 20
	// maxInlineBytes bounds a body that is gossiped with its fact. Larger ones
	// are fetched.
	maxInlineBytes = 400
	// maxNameBytes bounds the name of a fact.
	maxNameBytes = 128
	// maxFacts bounds the number of facts held.
	maxFacts = 1024
	// maxAlternates bounds the further addresses kept for a fetch.
	maxAlternates = 4
)

// factStore holds the facts that the fleet shares, by name.
type factStore struct {
	held     map[string]fact
	handlers map[string][]FactFunc
	// fetches are the bodies being fetched.
	fetches map[string]*bodyFetch
	// digest is the XOR of the facts' version digests; digestChanged is when it
	// last changed.
	digest        uint64
	digestChanged time.Time
}

// FactFunc is called with the versions of a fact in ascending order. It must
// not modify the body.
type FactFunc func(version uint64, body []byte)

type fact struct {
	version uint64
	// digest is the hash of body.
	digest uint64
	body   []byte
}

// bodyFetch is the fetch of a fact's body. alternates are further addresses to
// fetch it from.
type bodyFetch struct {
	version    uint64
	digest     uint64
	alternates []string
}

// versionDigest hashes the fact's name and version.
func (f fact) versionDigest(name string) uint64 {
	b := binary.LittleEndian.AppendUint64([]byte(name+"\x00"), f.version)
	return xxhash.Sum64(b)
}

// wire returns the fact for gossip, with its body if that is small.
func (f fact) wire(name string) *sqmemberwire.Fact {
	w := f.summary(name)
	if len(f.body) <= maxInlineBytes {
		w.Body, w.Inline = f.body, true
	}
	return w
}

func (f fact) summary(name string) *sqmemberwire.Fact {
	return &sqmemberwire.Fact{Name: name, Version: f.version, Digest: f.digest, Size: uint32(len(f.body))}
}

// summaries returns the held facts without their bodies, in order of name.
func (s *factStore) summaries() []*sqmemberwire.Fact {
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

// newer returns the held facts that are newer than those given.
func (s *factStore) newer(theirs []*sqmemberwire.Fact) []*sqmemberwire.Fact {
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

// Publish sets a fact and gossips it. It returns false and does nothing if the
// held version is the same or newer. The body must not be modified afterwards.
func (m *Member) Publish(name string, version uint64, body []byte) (bool, error) {
	if name == "" || len(name) > maxNameBytes || len(body) > MaxFactBytes || version == 0 {
		return false, errors.Errorf("invalid fact %q, version %d, body of %d bytes: no name, no version, or name or body too long", name, version, len(body))
	}
	var published bool
	m.changeLocal(func() {
		if published = version > m.facts.held[name].version; published {
			m.setFact(name, fact{version: version, digest: xxhash.Sum64(body), body: body}, source{daemon: m.self.ID})
		}
	})
	return published, nil
}

// Fact returns the version and body of a fact; the version is 0 if there is
// none.
func (m *Member) Fact(name string) (uint64, []byte) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f := m.facts.held[name]
	return f.version, f.body
}

// OnFact registers f to be called with the fact that is held, if any, and with
// each newer version.
func (m *Member) OnFact(name string, f FactFunc) {
	m.changeLocal(func() {
		if m.facts.handlers == nil {
			m.facts.handlers = make(map[string][]FactFunc)
		}
		m.facts.handlers[name] = append(m.facts.handlers[name], f)
		if held, ok := m.facts.held[name]; ok {
			m.callbacks.add(func() { f(held.version, held.body) })
		}
	})
}

// acceptFact merges a received fact, or starts to fetch its body from the
// sender.
func (m *Member) acceptFact(w *sqmemberwire.Fact, src source) {
	name := w.GetName()
	held, ok := m.facts.held[name]
	valid := name != "" && len(name) <= maxNameBytes && w.GetSize() <= MaxFactBytes && len(w.GetBody()) <= maxInlineBytes
	if !valid || w.GetVersion() <= held.version || (!ok && len(m.facts.held) >= maxFacts) {
		return
	}
	if !w.GetInline() {
		m.fetchBody(w, src.address)
		return
	}
	if f, ok := verifiedFact(w.GetVersion(), w.GetDigest(), w.GetBody()); ok {
		m.setFact(name, f, src)
	}
}

// verifiedFact returns a fact with a copy of body, and whether body matches the
// digest.
func verifiedFact(version, digest uint64, body []byte) (fact, bool) {
	return fact{version: version, digest: digest, body: bytes.Clone(body)}, xxhash.Sum64(body) == digest
}

// setFact stores a fact, calls its handlers and gossips it.
func (m *Member) setFact(name string, f fact, src source) {
	if m.facts.held == nil {
		m.facts.held = make(map[string]fact)
	}
	if old, ok := m.facts.held[name]; ok {
		m.facts.digest ^= old.versionDigest(name)
	}
	m.facts.held[name] = f
	m.facts.digest ^= f.versionDigest(name)
	m.facts.digestChanged = m.now
	if p := m.facts.fetches[name]; p != nil && p.version <= f.version {
		delete(m.facts.fetches, name)
	}
	for _, handler := range m.facts.handlers[name] {
		m.callbacks.add(func() { handler(f.version, f.body) })
	}
	r := update{key: "fact " + name, fact: f.wire(name)}
	m.updates.put(r)
	if m.fromOwnDataCentre(src) {
		m.relays.outbound = append(m.relays.outbound, r)
	}
}

// fetchBody requests a body, or records another address to fetch it from if a
// fetch is under way.
func (m *Member) fetchBody(w *sqmemberwire.Fact, address string) {
	p := m.facts.fetches[w.GetName()]
	switch {
	case address == "":
	case p == nil || p.version < w.GetVersion():
		if m.facts.fetches == nil {
			m.facts.fetches = make(map[string]*bodyFetch)
		}
		m.facts.fetches[w.GetName()] = &bodyFetch{version: w.GetVersion(), digest: w.GetDigest()}
		m.requestBody(w.GetName(), w.GetVersion(), address)
	case p.version == w.GetVersion() && len(p.alternates) < maxAlternates && !slices.Contains(p.alternates, address):
		p.alternates = append(p.alternates, address)
	}
}

func (m *Member) requestBody(name string, version uint64, address string) {
	req := &sqmemberwire.FetchRequest{Fleet: m.fleetHash, Name: name, Version: version}
	m.outbox = append(m.outbox, Message{Address: address, Fetch: req})
}

// FactBody returns the body that another daemon requests, or false if this version
// is not held.
func (m *Member) FactBody(req *sqmemberwire.FetchRequest) ([]byte, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.start()
	f, ok := m.facts.held[req.GetName()]
	return f.body, ok && req.GetFleet() == m.fleetHash && f.version == req.GetVersion()
}

// HandleFetchReply handles the reply to a Fetch that was sent to an address. If it
// failed or its body does not match the digest, the body is requested from the
// next alternate.
func (m *Member) HandleFetchReply(now time.Time, address string, req *sqmemberwire.FetchRequest, body []byte, err error) []Message {
	finish := m.enter(now)
	m.fetched(address, req, body, err)
	return finish()
}

func (m *Member) fetched(address string, req *sqmemberwire.FetchRequest, body []byte, err error) {
	name := req.GetName()
	p := m.facts.fetches[name]
	if p == nil || p.version != req.GetVersion() {
		return
	}
	if f, ok := verifiedFact(p.version, p.digest, body); ok && err == nil {
		m.setFact(name, f, m.sourceByAddress(address))
		return
	}
	if len(p.alternates) == 0 {
		delete(m.facts.fetches, name)
		return
	}
	next := p.alternates[0]
	p.alternates = p.alternates[1:]
	m.requestBody(name, p.version, next)
}

// sourceByAddress returns the source with a peer address. Its daemon is empty
// if none has that address.
func (m *Member) sourceByAddress(address string) source {
	src := source{address: address}
	m.rows.Each(func(_ sqid.DaemonID, r Row) bool {
		if r.PeerAddress == address {
			src.daemon = r.ID
		}
		return src.daemon == ""
	})
	return src
}
