package main

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against a fault on the command line or in the settings that is not
// told, or ends with status 0.
func TestCommandLine(t *testing.T) {
	good, bad := filepath.Join(t.TempDir(), "good.ini"), filepath.Join(t.TempDir(), "bad.ini")
	for path, text := range map[string]string{good: "[instance]\nid = i1\ndomain = north\n", bad: "[instance]\nid = i1\n"} {
		NewWithT(t).Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
	}
	for _, c := range []struct {
		args []string
		code int
		told string
	}{
		{[]string{"--help"}, 0, "--print-defaults"},
		{[]string{"--print-defaults"}, 0, "linger = 10s"},
		{[]string{"--config", good, "--check"}, 0, "good.ini: ok"},
		{[]string{"--config", bad, "--check"}, 12, "bad.ini: [instance] domain: not set"},
		{[]string{"--config", "none.ini", "--check"}, 12, "none.ini"},
		{nil, 12, "--config is missing"},
		{[]string{"--nonsense"}, 12, "nonsense"},
		{[]string{"--check", "x"}, 12, "unexpected argument"},
	} {
		g := NewWithT(t)
		var out bytes.Buffer
		g.Expect(run(c.args, &out, &out)).To(Equal(c.code), "%v", c.args)
		g.Expect(out.String()).To(ContainSubstring(c.told))
	}
}
