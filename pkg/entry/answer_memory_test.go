package entry

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rosemarywing/rosemarywing/pkg/membudget"
	"github.com/rosemarywing/rosemarywing/pkg/upstream"
)

// stallingBody yields prefix and then a number of bytes, and then blocks until release is
// closed.
type stallingBody struct {
	io.Reader
	ended   sync.Once
	stalled *atomic.Int64
	release chan struct{}
}

func (b *stallingBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err != io.EOF {
		return n, err
	}
	b.finish()
	<-b.release
	return 0, errReset
}

// finish counts the body once it was read as far as it goes, or closed.
func (b *stallingBody) finish() { b.ended.Do(func() { b.stalled.Add(1) }) }

func (b *stallingBody) Close() error {
	b.finish()
	return nil
}

// repeatingReader yields a text without end.
type repeatingReader struct {
	text string
	next int
}

func (r *repeatingReader) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = r.text[r.next%len(r.text)]
		r.next++
	}
	return len(p), nil
}

func heapBytes() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// Load pattern: a faulty upstream sends 1 MiB of an answer to each of 100 requests and
// neither ends nor goes on. Guards against memory that grows by the bytes of all of them
// beyond limits.answer_memory_bytes, and against sound answers that fail meanwhile.
func TestMemoryForAnswersIsSharedByAllRequests(t *testing.T) {
	const callers, sent, memory, firstBytes = 100, 1 << 20, 8 << 20, 16 << 10
	for name, test := range map[string]struct {
		path, body, contentType, prefix, text string
	}{
		"engine's body":               {"/v1/chat/completions", bufferedChatBody, contentTypeJSON, `{"a":"`, "x"},
		"service's body":              {"/services/s/lock", "", "text/plain", "", "x"},
		"engine's event":              {"/v1/chat/completions", streamedChatBody, contentTypeEventStream, "data: ", "x"},
		"service's event, many lines": {"/services/s/lock", "", contentTypeEventStream, "", "data: x\n"},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.entry.Settings.Limits.ResumeTries = 0
			f.entry.answerMemory = membudget.New(memory)
			var stalled atomic.Int64
			release := make(chan struct{})
			faulty := true
			f.onDispatch = func(call upstream.Call) (*upstream.Answer, error) {
				if !faulty {
					return jsonAnswer(http.StatusOK, call.RequestID, `{"sound":1}`), nil
				}
				return &upstream.Answer{Status: http.StatusOK, Header: http.Header{headerContentType: {test.contentType}}, Body: &stallingBody{
					Reader: io.MultiReader(strings.NewReader(test.prefix), io.LimitReader(&repeatingReader{text: test.text}, sent)), stalled: &stalled, release: release,
				}}, nil
			}
			before := heapBytes()
			var senders sync.WaitGroup
			for n := range callers {
				senders.Go(func() {
					f.call(context.Background(), http.MethodPost, test.path, test.body, headerIdempotencyKey, fmt.Sprint("issued-r-", n))
				})
			}
			f.Eventually(stalled.Load, time.Minute).Should(BeNumerically("==", callers))
			grown := heapBytes() - before
			faulty = false
			got := f.chat(bufferedChatBody, headerIdempotencyKey, "issued-sound")
			close(release)
			senders.Wait()
			t.Logf("%d KiB for %d answers", grown>>10, callers)
			f.Expect(got.Code).To(Equal(http.StatusOK))
			// The requests themselves and the recorders take memory too.
			f.Expect(grown).To(BeNumerically("<", memory+callers*2*firstBytes))
			f.Expect(f.entry.answerMemory.FreeBytes()).To(BeEquivalentTo(memory))
		})
	}
}
