package sqsettings_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"golang.org/x/tools/txtar"

	"github.com/sequoiatack/sequoiatack/internal/base/sqsettings"
)

// TestParse runs the cases in testdata, one txtar file each: settings.toml is the
// input, and faults is the expected text of the error, empty for valid settings.
func TestParse(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txtar")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, files, qt.Not(qt.HasLen), 0)
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			text, err := os.ReadFile(file)
			qt.Assert(t, err, qt.IsNil)
			parts := map[string]string{}
			for _, f := range txtar.Parse(text).Files {
				parts[f.Name] = string(f.Data)
			}
			_, err = sqsettings.Parse("settings.toml", []byte(parts["settings.toml"]))
			got := ""
			if err != nil {
				got = err.Error()
			}
			qt.Assert(t, got, qt.Equals, strings.TrimSpace(parts["faults"]))
		})
	}
}
