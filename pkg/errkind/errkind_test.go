package errkind_test

import (
	"errors"
	"fmt"
	"testing"

	"github.com/rosemarywing/rosemarywing/pkg/errkind"
)

// Guards against a kind without a status or exit code, and against a kind that
// tells a caller to send again a request that may have run.
func TestEveryKindHasSafeResponse(t *testing.T) {
	const kindCount = 34
	if got := len(errkind.Kinds()); got != kindCount {
		t.Errorf("got %d kinds, want %d", got, kindCount)
	}
	for _, kind := range errkind.Kinds() {
		response := errkind.ResponseFor(kind)
		if response.Status < 400 || response.Status > 599 || response.ExitCode == 0 {
			t.Errorf("%s: status %d, exit code %d", kind, response.Status, response.ExitCode)
		}
		if response.RetrySafe && response.RunState != errkind.NotRun {
			t.Errorf("%s: may be sent again with run state %s", kind, response.RunState)
		}
	}
}

// Guards against an error without a kind that is reported as not run.
func TestErrorWithoutKindHasUnknownRunState(t *testing.T) {
	plain := errors.New("plain")
	if got := errkind.ResponseFor(errkind.KindOf(plain)).RunState; got != errkind.Unknown {
		t.Errorf("run state %s for an error without a kind", got)
	}
	wrapped := fmt.Errorf("context: %w", errkind.New(errkind.Overloaded, "queue full"))
	if got := errkind.KindOf(wrapped); got != errkind.Overloaded {
		t.Errorf("kind %s through a wrapped error", got)
	}
}
