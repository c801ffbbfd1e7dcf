package gateway

import (
	"io"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rosemarywing/rosemarywing/pkg/membudget"
)

// Load pattern: an event without an end comes one byte at a time. Guards against a search
// through all of the event for each byte, which took 28 s of processor time.
func TestEventInManyPiecesTakesLittleTime(t *testing.T) {
	g := NewWithT(t)
	started := time.Now()
	source := iotest.OneByteReader(strings.NewReader(strings.Repeat("x", maxEventBytes)))
	reader := &eventReader{body: source, buffer: membudget.NewBuffer(membudget.New(maxEventBytes), firstAnswerBytes, maxEventBytes)}
	_, err := reader.next()
	g.Expect(err).To(MatchError(errEventTooLong))
	g.Expect(time.Since(started)).To(BeNumerically("<", 5*time.Second))
}

// Guards against a delimiter that is missed because it comes in pieces.
func TestDelimiterInPieces(t *testing.T) {
	g := NewWithT(t)
	for _, end := range []string{"\n\n", "\r\n\r\n"} {
		source := iotest.OneByteReader(strings.NewReader("data: a" + end + "data: b" + end + "da"))
		reader := &eventReader{body: source, buffer: membudget.NewBuffer(membudget.New(0), firstAnswerBytes, maxEventBytes)}
		for _, want := range []string{"data: a" + end, "data: b" + end} {
			got, err := reader.next()
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(string(got)).To(Equal(want))
		}
		_, err := reader.next()
		g.Expect(err).To(MatchError(io.EOF))
		g.Expect(reader.incompleteEvent()).To(BeTrue())
	}
}
