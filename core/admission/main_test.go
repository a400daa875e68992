package admission

import (
	"flag"
	"os"
	"testing"
)

// TestMain lowers the default number of cases for each property test, since
// every case simulates seconds of load. The -rapid.checks flag overrides it.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.checks", "20"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}
