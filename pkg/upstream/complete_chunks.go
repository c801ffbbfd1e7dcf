package upstream

import (
	"github.com/rosemarywing/rosemarywing/pkg/errkind"
	"github.com/rosemarywing/rosemarywing/pkg/membudget"
)

// completeChunks reads the complete chunks of a body. What an upstream writes when it fails
// within a chunk, such as the head of another answer, is not a part of the body.
type completeChunks struct {
	source *answerBody
	// buffer holds what was received after the passed bytes.
	buffer   *membudget.Buffer
	maxBytes int
	passed   int
	err      error
}

func newCompleteChunks(source *answerBody, maxBytes int) *completeChunks {
	c := &completeChunks{source: source, maxBytes: max(readBufferBytes, maxBytes)}
	c.shareMemory(nil)
	return c
}

// shareMemory makes the buffer take its memory from a budget. It must be called before Read.
func (c *completeChunks) shareMemory(budget *membudget.Budget) {
	c.buffer = membudget.NewBuffer(budget, readBufferBytes, c.maxBytes)
}

// Read waits for a complete chunk. A chunk of more than maxBytes is an error of kind
// AnswerIncomplete.
func (c *completeChunks) Read(data []byte) (int, error) {
	for {
		if complete := c.source.chunks.CompleteBytes() - c.passed; complete > 0 {
			n := copy(data, c.buffer.Bytes()[:complete])
			c.buffer.Discard(n)
			c.passed += n
			return n, nil
		}
		if c.err != nil {
			return 0, c.err
		}
		space := c.buffer.Space()
		switch {
		case space == nil && c.buffer.Full():
			return 0, errkind.New(errkind.AnswerIncomplete, "a chunk of more than %d bytes", c.maxBytes)
		case space == nil:
			return 0, errkind.New(errkind.AnswerIncomplete, "the memory for answers is used up by %d bytes of a chunk and by other answers", len(c.buffer.Bytes()))
		}
		var n int
		n, c.err = c.source.Read(space)
		c.buffer.Extend(n)
	}
}
