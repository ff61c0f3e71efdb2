package sqsettings_test

import (
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/go-faster/errors"
	"github.com/pelletier/go-toml/v2"
	"golang.org/x/tools/txtar"

	"github.com/sequoiatack/sequoiatack/internal/base/sqsettings"
)

// FuzzParse checks that any input gives either settings or faults that each name a
// field, and that valid settings survive encoding and parsing unchanged.
func FuzzParse(f *testing.F) {
	files, err := filepath.Glob("testdata/*.txtar")
	qt.Assert(f, err, qt.IsNil)
	for _, file := range files {
		text, err := os.ReadFile(file)
		qt.Assert(f, err, qt.IsNil)
		f.Add(txtar.Parse(text).Files[0].Data)
	}
	f.Add([]byte("log = 1\nlog.level = 2\n[daemonName]\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		cfg, err := sqsettings.Parse("f", text)
		if err != nil {
			faults, ok := errors.Into[sqsettings.Faults](err)
			qt.Assert(t, ok && len(faults) > 0, qt.IsTrue)
			for _, fault := range faults {
				qt.Assert(t, fault.Field != "" && fault.Message != "", qt.IsTrue, qt.Commentf("%q", fault))
			}
			return
		}
		encoded, err := toml.Marshal(cfg)
		qt.Assert(t, err, qt.IsNil)
		reparsed, err := sqsettings.Parse("f", encoded)
		qt.Assert(t, err, qt.IsNil)
		reencoded, err := toml.Marshal(reparsed)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, string(reencoded), qt.Equals, string(encoded))
	})
}
