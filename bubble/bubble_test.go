package bubble_test

import (
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dottereltiller/dottereltiller/bubble"
)

// TestOverdueTimersFireInManyGoroutines guards against crashes of the race detector. The tickers
// expire while their goroutines sleep, so they fire in the receiving goroutines. If these ran on
// more than one processor, the race detector would end the process: "ThreadSanitizer: CHECK
// failed", or a segmentation fault in SlotLock.
func TestOverdueTimersFireInManyGoroutines(t *testing.T) {
	bubble.Run(t, func(*testing.T) {
		var wg sync.WaitGroup
		for range 300 {
			wg.Go(func() {
				ticker := time.NewTicker(time.Millisecond)
				defer ticker.Stop()
				for range 100 {
					time.Sleep(2 * time.Millisecond)
					<-ticker.C
				}
			})
		}
		wg.Wait()
	})
}

// TestRunRestoresGOMAXPROCS checks that GOMAXPROCS is 1 during Run and has its previous value after
// Run.
func TestRunRestoresGOMAXPROCS(t *testing.T) {
	procsBefore := runtime.GOMAXPROCS(0)
	bubble.Run(t, func(t *testing.T) {
		require.Equal(t, 1, runtime.GOMAXPROCS(0))
	})
	require.Equal(t, procsBefore, runtime.GOMAXPROCS(0))
}
