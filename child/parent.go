package child

import (
	"os"
	"time"
)

// parentPollInterval is the time between two checks of EndWithParent.
const parentPollInterval = 200 * time.Millisecond

// orphanExitCode is the exit code of a process that EndWithParent ends.
const orphanExitCode = 1

// EndWithParent ends this process soon after its parent has ended, and with it all processes that Start
// started. A test calls it in TestMain: if go test is killed, nobody waits for the test any more.
func EndWithParent() {
	parent := os.Getppid()
	go func() {
		for os.Getppid() == parent {
			time.Sleep(parentPollInterval)
		}
		os.Exit(orphanExitCode)
	}()
}
