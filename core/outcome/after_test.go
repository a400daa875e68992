package outcome

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestNotRunAfterUnknownStaysUnknown checks that a refusal does not hide that an earlier
// attempt may have run the request. In all other cases, the outcome of the last attempt counts.
func TestNotRunAfterUnknownStaysUnknown(t *testing.T) {
	lost := UnknownBecause(ReasonConnectionLost)
	refused := NotRunBecause(ReasonQueueFull)
	assert.Equal(t, lost, refused.After(lost))
	assert.Equal(t, refused, refused.After(NotRunBecause(ReasonConnect)))
	assert.Equal(t, ResponseComplete(), ResponseComplete().After(lost))
	assert.Equal(t, lost, lost.After(refused))
}
