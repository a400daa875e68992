package proctest

import (
	"os"
	"testing"

	"github.com/dottereltiller/dottereltiller/child"
)

// TestMain ends the daemons of the tests if go test is killed.
func TestMain(m *testing.M) {
	child.EndWithParent()
	os.Exit(m.Run())
}
