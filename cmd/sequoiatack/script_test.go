package main

import (
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/base/sqmetric"
	"github.com/sequoiatack/sequoiatack/internal/base/sqsettings"
	"github.com/sequoiatack/sequoiatack/internal/edge/sqadmin"
	"github.com/sequoiatack/sequoiatack/internal/standin/sqstore"
	"github.com/sequoiatack/sequoiatack/internal/state/sqlists"
)

const operatorKey = "the operator's key"

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"sequoiatack": func() { os.Exit(run()) },
	})
}

// storeKey is the key under which a script's environment holds its stand-in of the
// platform.
type storeKey struct{}

// TestScript runs the scripts in testdata/script, each against its own admin server
// with its own stand-in of the platform.
func TestScript(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:   "testdata/script",
		Setup: setUp,
		Cmds:  map[string]func(*testscript.TestScript, bool, []string){"platform": setPlatform},
	})
}

// setUp starts a script's admin server, with a fixed status, and sets the environment
// variables by which commands reach it.
func setUp(env *testscript.Env) error {
	store := &sqstore.Store{}
	holder := &sqlists.Holder{}
	age := sqsettings.Span(1500 * time.Millisecond)
	admin := &sqadmin.Server{
		Daemon: "d1", Holder: holder,
		Acceptor:   &sqlists.Acceptor{Store: store.Platform(), Holder: holder, Timeout: time.Second},
		KeyDigests: []sqid.KeyDigest{sqid.DigestKey(operatorKey)},
		Status: func() sqadmin.Status {
			return sqadmin.Status{
				Daemon: "d1", DataCentre: "puebla-1", Region: "puebla", Incarnation: 3,
				Revision: holder.Revision(), ListsAge: &age,
				Peers: []sqadmin.Peer{{Daemon: "d2", DataCentre: "puebla-2", Address: "127.0.0.1:1", State: "suspect"}},
				Shards: []sqadmin.Shard{
					{Shard: 4, Epoch: 9, State: "keeping"},
					{Shard: 5, Epoch: 9, State: "keeping"},
					{Shard: 7, Epoch: 9, State: "keeping"},
				},
				Targets: []sqadmin.Target{{Target: "t1", Service: "orders", Slots: 75, InFlight: 2, Draining: true}},
			}
		},
		Ready: func() error { return nil }, Metrics: sqmetric.New(),
	}
	server := httptest.NewServer(admin.Handler())
	env.Defer(server.Close)
	env.Values[storeKey{}] = store
	env.Setenv(addressEnv, strings.TrimPrefix(server.URL, "http://"))
	env.Setenv(keyEnv, operatorKey)
	return nil
}

// setPlatform implements the script command "platform up|down", which ends or starts
// an outage of the platform.
func setPlatform(ts *testscript.TestScript, _ bool, args []string) {
	store, _ := ts.Value(storeKey{}).(*sqstore.Store)
	if len(args) != 1 {
		ts.Fatalf("usage: platform up|down")
	}
	switch args[0] {
	case "up":
		store.SetFaults(sqstore.Faults{})
	case "down":
		store.SetFaults(sqstore.Faults{Down: true})
	default:
		ts.Fatalf("unknown state of the platform %q", args[0])
	}
}
