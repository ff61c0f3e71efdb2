package sqlists_test

import (
	"encoding/json"
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"golang.org/x/tools/txtar"
	_ "pgregory.net/rapid"

	"github.com/sequoiatack/sequoiatack/internal/state/sqlists"
)

// TestMain fixes the seed of rapid, so that runs are reproducible.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "60")
	flag.Parse()
	os.Exit(m.Run())
}

// parseCases returns the sections of each file in testdata/parse.
func parseCases(tb testing.TB) map[string]map[string]string {
	files, err := filepath.Glob("testdata/parse/*.txtar")
	qt.Assert(tb, err, qt.IsNil)
	qt.Assert(tb, files, qt.Not(qt.HasLen), 0)
	cases := make(map[string]map[string]string)
	for _, file := range files {
		text, err := os.ReadFile(file)
		qt.Assert(tb, err, qt.IsNil)
		parts := make(map[string]string)
		for _, f := range txtar.Parse(text).Files {
			parts[f.Name] = strings.TrimSpace(string(f.Data))
		}
		cases[filepath.Base(file)] = parts
	}
	return cases
}

// TestParse runs the cases in txtar files. Each has both lists, the expected
// faults and, for valid lists, the encoded form.
func TestParse(t *testing.T) {
	for name, parts := range parseCases(t) {
		t.Run(name, func(t *testing.T) {
			l, err := sqlists.Parse([]byte(parts["workspaces.json"]), []byte(parts["plans.json"]))
			got := ""
			if err != nil {
				got = err.Error()
			}
			qt.Assert(t, strings.Split(got, "\n"), qt.DeepEquals, strings.Split(parts["faults"], "\n"))
			if err == nil {
				qt.Assert(t, encode(t, l.Workspaces), qt.Equals, parts["workspaces.out"])
				qt.Assert(t, encode(t, l.Plans), qt.Equals, parts["plans.out"])
			}
		})
	}
}

func encode(tb testing.TB, v any) string {
	text, err := json.Marshal(v)
	qt.Assert(tb, err, qt.IsNil)
	return string(text)
}

// FuzzParse checks that valid lists are unchanged by encoding and parsing them
// again, and that their index can be built.
func FuzzParse(f *testing.F) {
	for _, parts := range parseCases(f) {
		f.Add([]byte(parts["workspaces.json"]), []byte(parts["plans.json"]))
	}
	f.Fuzz(func(t *testing.T, workspaces, plans []byte) {
		l, err := sqlists.Parse(workspaces, plans)
		if err != nil {
			return
		}
		again, err := sqlists.Parse([]byte(encode(t, l.Workspaces)), []byte(encode(t, l.Plans)))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, again, qt.DeepEquals, l)
		sqlists.NewIndex(l)
	})
}
