package errkind_test

import (
	"os"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/rosemarywing/rosemarywing/pkg/errkind"
)

// The marks in docs/api.md between which the table stands.
const (
	tableBegin = "<!-- errkind: begin -->\n"
	tableEnd   = "<!-- errkind: end -->\n"
)

// Guards against a table for callers that differs from what they are answered,
// and against a page that lacks a kind.
func TestDocumentation(t *testing.T) {
	const page = "../../docs/api.md"
	g := NewWithT(t)
	text, err := os.ReadFile(page)
	g.Expect(err).NotTo(HaveOccurred())
	before, rest, found := strings.Cut(string(text), tableBegin)
	g.Expect(found).To(BeTrue(), "%s has no mark %q", page, tableBegin)
	shown, after, found := strings.Cut(rest, tableEnd)
	g.Expect(found).To(BeTrue(), "%s has no mark %q", page, tableEnd)
	if os.Getenv("UPDATE_DOCS") != "" {
		shown = errkind.Document()
		g.Expect(os.WriteFile(page, []byte(before+tableBegin+shown+tableEnd+after), 0o644)).To(Succeed())
	}
	g.Expect(shown).To(Equal(errkind.Document()), "run UPDATE_DOCS=1 go test ./pkg/errkind")
	for _, kind := range errkind.Kinds() {
		g.Expect(strings.Count(shown, "| `"+string(kind)+"` |")).To(Equal(1), string(kind))
	}
}
