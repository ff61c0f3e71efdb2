package sqadmit

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes rapid's seed, so that failures are reproducible.
func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}
