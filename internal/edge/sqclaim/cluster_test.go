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

// cluster simulates the daemons of a data centre, their keepers record in the
// platform, and faults of daemons, messages and platform.
type cluster struct {
	centre sqid.DataCentreID
	// remote is another data centre; partitioned says that it can't be reached.
	remote      *cluster
	partitioned bool
	// agreedSet is the set of data centres that this one uses.
	agreedSet sqkeeper.SharesSet

	rng          *rand.Rand
	daemons      []*daemon
	record       *sqkeeper.Record
	platformDown bool
	lossRate     float64
	runs         map[sqoperation.Key]int
	granted      []*run
}

// run is an operation that an entry has been granted to run.
type run struct {
	key sqoperation.Key
	op  *Operation
	end time.Time
}

// daemon is one daemon. It implements Keepers for its own service.
type daemon struct {
	cluster *cluster
	member  sqkeeper.Member
	service *Service
	view    *sqkeeper.Record
	dead    bool
	fenced  bool
}

func newCluster(seed uint64, n int) *cluster {
	return newClusterOf(testCentre, seed, n)
}

func newClusterOf(centre sqid.DataCentreID, seed uint64, n int) *cluster {
	cl := &cluster{centre: centre, rng: rand.New(rand.NewPCG(seed, 1)), runs: make(map[sqoperation.Key]int)}
	for i := range n {
		cl.add(sqid.DaemonID(string(centre) + string(rune('a'+i))))
	}
	cl.agreedSet = sqkeeper.SharesSet{Epoch: 1, DataCentres: []sqid.DataCentreID{centre}}
	cl.record = sqkeeper.FirstRecord(centre, cl.daemons[0].member, sqkeeper.SharesSet{}, cl.agreedSet)
	cl.record, _ = cl.record.Next(sqkeeper.Changes{Alive: cl.alive(), Closed: allClosed})
	cl.publishRecord()
	return cl
}

func (cl *cluster) add(name sqid.DaemonID) {
	d := &daemon{cluster: cl, member: sqkeeper.Member{
		Daemon: name, Incarnation: sqid.Incarnation(len(cl.daemons) + 1), PeerAddress: string(name) + string(rune('0'+len(cl.daemons))),
	}}
	d.service = &Service{Self: d.member, DataCentre: cl.centre, Keepers: d, Logger: logr.Discard()}
	d.service.dial = func(address string) (sqclaimwire.ClaimsClient, error) { return d.dial(address) }
	d.service.init()
	cl.daemons = append(cl.daemons, d)
}

func allClosed(sqkeeper.EarlierRoster) bool { return true }

func (cl *cluster) alive() []sqkeeper.Member {
	var alive []sqkeeper.Member
	for _, d := range cl.daemons {
		if !d.dead && !d.fenced {
			alive = append(alive, d.member)
		}
	}
	return alive
}

// publishRecord gives the current record to every daemon that is not fenced.
func (cl *cluster) publishRecord() {
	for _, d := range cl.daemons {
		if !d.fenced {
			d.view = cl.record
		}
	}
}

// maintain runs the maintenance of every daemon that is alive.
func (cl *cluster) maintain() {
	for _, d := range cl.daemons {
		if !d.dead {
			d.service.maintain(context.Background())
		}
	}
}

// fail stops a daemon, or only disconnects it if dead is false. The others take over
// its shards once it is fenced, that is, can no longer act as a keeper.
func (cl *cluster) fail(d *daemon, dead bool) {
	d.dead, d.fenced = dead, true
	if next, ok := cl.record.Next(sqkeeper.Changes{Alive: cl.alive(), Closed: allClosed}); ok {
		cl.record = next
	}
	cl.publishRecord()
}

// ActiveAssignment implements Keepers. That a fenced daemon doesn't act as a keeper is
// guaranteed by the ledger.
func (d *daemon) ActiveAssignment(s sqid.ShardID, _ time.Time) (Assignment, bool) {
	if d.dead || d.fenced {
		return Assignment{}, false
	}
	return d.Assignment(s)
}

func (d *daemon) Assignment(s sqid.ShardID) (Assignment, bool) {
	if !d.view.Keeper(s).Is(d.member) {
		return Assignment{}, false
	}
	h := d.view.Assignments[s]
	return Assignment{RecordEpoch: d.view.Epoch, Tenure: h.Since, PreviousTenure: max(h.HandedSince, h.BackedSince), First: h.Since == 1, Backup: d.view.Backup(s)}, true
}

func (d *daemon) Home(dc sqid.DataCentreID, s sqid.ShardID) (sqkeeper.Member, sqid.Epoch, bool) {
	if dc != d.cluster.centre {
		r := d.cluster.remote.record
		return r.Keeper(s), r.Assignments[s].Since, true
	}
	return d.view.Keeper(s), d.view.Assignments[s].Since, true
}

func (d *daemon) Candidates() []sqkeeper.Member {
	var others []sqkeeper.Member
	for _, m := range d.cluster.alive() {
		if !m.Is(d.member) && d.view.Roster.Index(m) >= 0 {
			others = append(others, m)
		}
	}
	return others
}

func (d *daemon) DataCentres() ([]sqid.DataCentreID, uint64) {
	return d.cluster.agreedSet.DataCentres, uint64(d.cluster.agreedSet.Epoch)
}

// SetBackups changes the record. Its answer may be lost after the change.
func (d *daemon) SetBackups(_ context.Context, backups map[sqid.ShardID]sqkeeper.Member) error {
	if d.cluster.platformDown {
		return sqkv.ErrUnavailable
	}
	next, ok := d.cluster.record.WithBackups(d.member, backups, allClosed)
	if !ok {
		return errors.New("not keeper")
	}
	d.cluster.record = next
	if d.cluster.rng.Float64() < d.cluster.lossRate {
		return sqkv.ErrUncertain
	}
	d.cluster.publishRecord()
	return nil
}

// dial returns a client of another daemon unless one of the two has failed.
func (d *daemon) dial(address string) (sqclaimwire.ClaimsClient, error) {
	reachable := d.cluster.daemons
	if d.cluster.remote != nil && !d.cluster.partitioned {
		reachable = append(slices.Clone(reachable), d.cluster.remote.daemons...)
	}
	for _, to := range reachable {
		if to.member.PeerAddress == address && !to.dead && !to.fenced && !d.dead && !d.fenced {
			return &client{from: d, to: to}, nil
		}
	}
	return nil, errors.New("unreachable")
}

// client calls another daemon's service. Requests and answers may be lost.
type client struct {
	sqclaimwire.ClaimsClient
	from, to *daemon
}

var errLost = errors.New("lost")

func (c *client) lost() bool { return c.from.cluster.rng.Float64() < c.from.cluster.lossRate }

func (c *client) Claim(ctx context.Context, in *sqclaimwire.ClaimRequest, _ ...grpc.CallOption) (*sqclaimwire.ClaimAnswer, error) {
	if c.lost() {
		return nil, errLost
	}
	answer := c.to.service.claim(ctx, in)
	if c.lost() {
		return nil, errLost
	}
	return answer, nil
}

func (c *client) Finish(ctx context.Context, in *sqclaimwire.FinishRequest, _ ...grpc.CallOption) (*sqclaimwire.FinishAnswer, error) {
	if c.lost() {
		return nil, errLost
	}
	c.to.service.finish(ctx, in)
	return &sqclaimwire.FinishAnswer{}, nil
}

func (c *client) Mirror(_ context.Context, in *sqclaimwire.MirrorRequest, _ ...grpc.CallOption) (*sqclaimwire.MirrorAnswer, error) {
	if c.lost() {
		return nil, errLost
	}
	known := c.to.service.applyMirror(in)
	if c.lost() {
		return nil, errLost
	}
	return &sqclaimwire.MirrorAnswer{Known: known}, nil
}

func (c *client) Move(_ context.Context, in *sqclaimwire.MoveRequest, _ ...grpc.CallOption) (grpc.ServerStreamingClient[sqclaimwire.MoveAnswer], error) {
	s := &moveStream{}
	err := c.to.service.sendMoved(in, func(a *sqclaimwire.MoveAnswer) error {
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
