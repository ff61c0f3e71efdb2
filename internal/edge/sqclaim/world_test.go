package sqclaim

import (
	"context"
	"io"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"
	"google.golang.org/grpc"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/policy/sqoperation"
	"github.com/sequoiatack/sequoiatack/internal/state/sqkeeper"
	"github.com/sequoiatack/sequoiatack/internal/state/sqkv"
	"github.com/sequoiatack/sequoiatack/internal/wire/sqclaimwire"
)

const testCentre = sqid.DataCentreID("jabar-1")

// world is a data centre of daemons with books, their keepers record in a
// platform, and faults between them.
type world struct {
	centre sqid.DataCentreID
	// far is another data centre; cut says that it can't be reached.
	far *world
	cut bool
	// set is the agreed set of data centres.
	set sqkeeper.SharesSet

	rng     *rand.Rand
	daemons []*daemon
	record  *sqkeeper.Record
	out     bool
	loss    float64
	runs    map[sqoperation.Key]int
	granted []*run
}

// run is an operation that an entry was granted.
type run struct {
	key sqoperation.Key
	op  *Operation
	end time.Time
}

// daemon is one daemon; it is its own books' keepers.
type daemon struct {
	w      *world
	member sqkeeper.Member
	books  *Books
	view   *sqkeeper.Record
	dead   bool
	fenced bool
}

func newWorld(seed uint64, n int) *world {
	return newWorldOf(testCentre, seed, n)
}

func newWorldOf(centre sqid.DataCentreID, seed uint64, n int) *world {
	w := &world{centre: centre, rng: rand.New(rand.NewPCG(seed, 1)), runs: make(map[sqoperation.Key]int)}
	for i := range n {
		w.add(sqid.DaemonID(string(centre) + string(rune('a'+i))))
	}
	w.set = sqkeeper.SharesSet{Epoch: 1, DataCentres: []sqid.DataCentreID{centre}}
	w.record = sqkeeper.FirstRecord(centre, w.daemons[0].member, sqkeeper.SharesSet{}, w.set)
	w.record, _ = w.record.Next(sqkeeper.Changes{Alive: w.alive(), Closed: all})
	w.learn()
	return w
}

func (w *world) add(name sqid.DaemonID) {
	d := &daemon{w: w, member: sqkeeper.Member{
		Daemon: name, Incarnation: sqid.Incarnation(len(w.daemons) + 1), PeerAddress: string(name) + string(rune('0'+len(w.daemons))),
	}}
	d.books = &Books{Self: d.member, DataCentre: w.centre, Keepers: d, Logger: logr.Discard()}
	d.books.dial = func(address string) (sqclaimwire.ClaimsClient, error) { return d.dial(address) }
	d.books.init()
	w.daemons = append(w.daemons, d)
}

func all(sqkeeper.EarlierRoster) bool { return true }

func (w *world) alive() []sqkeeper.Member {
	var alive []sqkeeper.Member
	for _, d := range w.daemons {
		if !d.dead && !d.fenced {
			alive = append(alive, d.member)
		}
	}
	return alive
}

// learn has every daemon that is not cut off know the record.
func (w *world) learn() {
	for _, d := range w.daemons {
		if !d.fenced {
			d.view = w.record
		}
	}
}

// attend has every daemon do its duty.
func (w *world) attend() {
	for _, d := range w.daemons {
		if !d.dead {
			d.books.attend(context.Background())
		}
	}
}

// lose takes a daemon out, by death or by a cut, and has the others take its
// shards over once it is fenced.
func (w *world) lose(d *daemon, dead bool) {
	d.dead, d.fenced = dead, true
	if next, ok := w.record.Next(sqkeeper.Changes{Alive: w.alive(), Closed: all}); ok {
		w.record = next
	}
	w.learn()
}

// Keeping is that of Keepers; the fence is the ledger's guarantee.
func (d *daemon) Keeping(s sqid.ShardID, _ time.Time) (Keeping, bool) {
	if d.dead || d.fenced {
		return Keeping{}, false
	}
	return d.Assigned(s)
}

func (d *daemon) Assigned(s sqid.ShardID) (Keeping, bool) {
	if !d.view.Keeper(s).Is(d.member) {
		return Keeping{}, false
	}
	h := d.view.Assignments[s]
	return Keeping{Record: d.view.Epoch, Since: h.Since, From: max(h.HandedSince, h.BackedSince), First: h.Since == 1, Backup: d.view.Backup(s)}, true
}

func (d *daemon) Home(dc sqid.DataCentreID, s sqid.ShardID) (sqkeeper.Member, sqid.Epoch, bool) {
	if dc != d.w.centre {
		r := d.w.far.record
		return r.Keeper(s), r.Assignments[s].Since, true
	}
	return d.view.Keeper(s), d.view.Assignments[s].Since, true
}

func (d *daemon) Candidates() []sqkeeper.Member {
	var others []sqkeeper.Member
	for _, m := range d.w.alive() {
		if !m.Is(d.member) && d.view.Roster.Index(m) >= 0 {
			others = append(others, m)
		}
	}
	return others
}

func (d *daemon) Centres() ([]sqid.DataCentreID, uint64) {
	return d.w.set.DataCentres, uint64(d.w.set.Epoch)
}

// SetBackups changes the record; its answer may be lost after that.
func (d *daemon) SetBackups(_ context.Context, backups map[sqid.ShardID]sqkeeper.Member) error {
	if d.w.out {
		return sqkv.ErrUnavailable
	}
	next, ok := d.w.record.WithBackups(d.member, backups, all)
	if !ok {
		return errors.New("not keeper")
	}
	d.w.record = next
	if d.w.rng.Float64() < d.w.loss {
		return sqkv.ErrUncertain
	}
	d.w.learn()
	return nil
}

// dial reaches another daemon unless one of the two is gone.
func (d *daemon) dial(address string) (sqclaimwire.ClaimsClient, error) {
	reachable := d.w.daemons
	if d.w.far != nil && !d.w.cut {
		reachable = append(slices.Clone(reachable), d.w.far.daemons...)
	}
	for _, to := range reachable {
		if to.member.PeerAddress == address && !to.dead && !to.fenced && !d.dead && !d.fenced {
			return &client{from: d, to: to}, nil
		}
	}
	return nil, errors.New("unreachable")
}

// client calls another daemon's books; requests and answers may be lost.
type client struct {
	sqclaimwire.ClaimsClient
	from, to *daemon
}

var errLost = errors.New("lost")

func (c *client) lost() bool { return c.from.w.rng.Float64() < c.from.w.loss }

func (c *client) Claim(ctx context.Context, in *sqclaimwire.ClaimRequest, _ ...grpc.CallOption) (*sqclaimwire.ClaimAnswer, error) {
	if c.lost() {
		return nil, errLost
	}
	answer := c.to.books.claim(ctx, in)
	if c.lost() {
		return nil, errLost
	}
	return answer, nil
}

func (c *client) Finish(ctx context.Context, in *sqclaimwire.FinishRequest, _ ...grpc.CallOption) (*sqclaimwire.FinishAnswer, error) {
	if c.lost() {
		return nil, errLost
	}
	c.to.books.finish(ctx, in)
	return &sqclaimwire.FinishAnswer{}, nil
}

func (c *client) Mirror(_ context.Context, in *sqclaimwire.MirrorRequest, _ ...grpc.CallOption) (*sqclaimwire.MirrorAnswer, error) {
	if c.lost() {
		return nil, errLost
	}
	known := c.to.books.copyBook(in)
	if c.lost() {
		return nil, errLost
	}
	return &sqclaimwire.MirrorAnswer{Known: known}, nil
}

func (c *client) Move(_ context.Context, in *sqclaimwire.MoveRequest, _ ...grpc.CallOption) (grpc.ServerStreamingClient[sqclaimwire.MoveAnswer], error) {
	s := &moveStream{}
	err := c.to.books.moved(in, func(a *sqclaimwire.MoveAnswer) error {
		s.answers = append(s.answers, a)
		return nil
	})
	return s, err
}

type moveStream struct {
	grpc.ClientStream
	answers []*sqclaimwire.MoveAnswer
}

func (s *moveStream) Recv() (*sqclaimwire.MoveAnswer, error) {
	if len(s.answers) == 0 {
		return nil, io.EOF
	}
	a := s.answers[0]
	s.answers = s.answers[1:]
	return a, nil
}
