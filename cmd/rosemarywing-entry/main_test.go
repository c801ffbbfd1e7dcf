package main

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against an error in the flags or the settings that is not reported, or
// that ends with status 0.
func TestCommandLine(t *testing.T) {
	validPath, invalidPath := filepath.Join(t.TempDir(), "good.ini"), filepath.Join(t.TempDir(), "bad.ini")
	for path, content := range map[string]string{validPath: "[instance]\nid = i1\ndomain = north\n", invalidPath: "[instance]\nid = i1\n"} {
		NewWithT(t).Expect(os.WriteFile(path, []byte(content), 0o600)).To(Succeed())
	}
	for _, c := range []struct {
		args       []string
		wantCode   int
		wantOutput string
	}{
		{[]string{"--help"}, 0, "--print-defaults"},
		{[]string{"--print-defaults"}, 0, "linger = 10s"},
		{[]string{"--config", validPath, "--check"}, 0, "good.ini: ok"},
		{[]string{"--config", invalidPath, "--check"}, 12, "bad.ini: [instance] domain: not set"},
		{[]string{"--config", "none.ini", "--check"}, 12, "none.ini"},
		{nil, 12, "--config is missing"},
		{[]string{"--nonsense"}, 12, "nonsense"},
		{[]string{"--check", "x"}, 12, "unexpected argument"},
	} {
		g := NewWithT(t)
		var out bytes.Buffer
		g.Expect(run(c.args, &out, &out)).To(Equal(c.wantCode), "%v", c.args)
		g.Expect(out.String()).To(ContainSubstring(c.wantOutput))
	}
}
