package errkind_test

import (
	"errors"
	"fmt"
	"testing"

	"github.com/rosemarywing/rosemarywing/pkg/errkind"
)

// Guards against a kind without an answer, and against an answer that tells a
// caller to send again a request that may have run.
func TestTableIsCompleteAndSafe(t *testing.T) {
	const listed = 34
	if got := len(errkind.Kinds()); got != listed {
		t.Errorf("the table has %d kinds, want %d", got, listed)
	}
	for _, kind := range errkind.Kinds() {
		answer := errkind.AnswerFor(kind)
		if answer.Status < 400 || answer.Status > 599 || answer.ExitCode == 0 {
			t.Errorf("%s: status %d, exit code %d", kind, answer.Status, answer.ExitCode)
		}
		if answer.Resend && answer.RunState != errkind.NotRun {
			t.Errorf("%s: says send again with run state %s", kind, answer.RunState)
		}
	}
}

// Guards against an error without a kind being answered as not run.
func TestUnknownErrorsNeverClaimNotRun(t *testing.T) {
	plain := errors.New("plain")
	if got := errkind.AnswerFor(errkind.KindOf(plain)).RunState; got != errkind.Unknown {
		t.Errorf("run state %s for an error without a kind", got)
	}
	wrapped := fmt.Errorf("context: %w", errkind.New(errkind.Overloaded, "queue full"))
	if got := errkind.KindOf(wrapped); got != errkind.Overloaded {
		t.Errorf("kind %s through a wrapped error", got)
	}
}
