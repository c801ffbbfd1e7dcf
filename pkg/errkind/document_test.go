package errkind_test

import (
	"os"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/rosemarywing/rosemarywing/pkg/errkind"
)

// Markers in docs/api.md that enclose the generated table.
const (
	tableBegin = "<!-- errkind: begin -->\n"
	tableEnd   = "<!-- errkind: end -->\n"
)

// Guards against documentation that differs from the responses that callers
// receive, and against a page that lacks a kind.
func TestDocumentationMatchesKinds(t *testing.T) {
	const page = "../../docs/api.md"
	g := NewWithT(t)
	text, err := os.ReadFile(page)
	g.Expect(err).NotTo(HaveOccurred())
	before, rest, found := strings.Cut(string(text), tableBegin)
	g.Expect(found).To(BeTrue(), "%s has no marker %q", page, tableBegin)
	documented, after, found := strings.Cut(rest, tableEnd)
	g.Expect(found).To(BeTrue(), "%s has no marker %q", page, tableEnd)
	if os.Getenv("UPDATE_DOCS") != "" {
		documented = errkind.MarkdownTable()
		g.Expect(os.WriteFile(page, []byte(before+tableBegin+documented+tableEnd+after), 0o644)).To(Succeed())
	}
	g.Expect(documented).To(Equal(errkind.MarkdownTable()), "run UPDATE_DOCS=1 go test ./pkg/errkind")
	for _, kind := range errkind.Kinds() {
		g.Expect(strings.Count(documented, "| `"+string(kind)+"` |")).To(Equal(1), string(kind))
	}
}
