package gateway

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

const validSettings = `
[instance]
name = edge-1
domain = north
[domains]
north = r1
[listen]
callers = 10.0.0.1:1
ready = 10.0.0.1:2
peers = 10.0.0.1:3
admin = 10.0.0.1:4
[store]
address = 10.0.0.9:1
[limits]
processor_share = 0.192
`

func loadSettings(t *testing.T, content string) (Settings, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "gateway.ini")
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	return LoadSettings(path)
}

func TestLoadSettingsAppliesDefaults(t *testing.T) {
	g := NewWithT(t)
	settings, err := loadSettings(t, validSettings)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(settings.Regions).To(Equal(map[string]string{"north": "r1"}))
	g.Expect(settings.Limits.ProcessorShare).To(Equal(0.192))
	g.Expect(settings.Limits.Descriptors).To(Equal(defaultSettings().Limits.Descriptors))
	g.Expect(settings.Bounds).To(Equal(defaultSettings().Bounds))
	g.Expect(settings.Placement.LearnLimits).To(BeFalse())
	settings, err = loadSettings(t, validSettings+"[placement]\nlearn_limits = true\n")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(settings.Placement.LearnLimits).To(BeTrue())
	settings, err = loadSettings(t, validSettings+"[placement]\neject_failing = false\nshare_teams = false\nrefuse_early = false\nrelay_from_instances = 16\n")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(settings.Placement).To(Equal(PlacementSettings{RelayFromInstances: 16}))
	settings, err = loadSettings(t, validSettings+"[placement]\nregion_link_mbps = 62.5\n")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(settings.Placement.RegionLinkMbps).To(Equal(62.5))
}

// Guards against a typo in the settings file that makes an instance start with a
// default.
// The template of the settings leaves a value empty where the deployment states none. Guards
// against an instance that does not start for it, and against unknown keys that pass.
func TestEmptyValueIsTheDefault(t *testing.T) {
	g := NewWithT(t)
	settings, err := loadSettings(t, validSettings+"[bounds]\nexposure_share = \nretry_extra =\n")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(settings.Bounds).To(Equal(defaultSettings().Bounds))
	_, err = loadSettings(t, validSettings+"[bounds]\nexposed_share = \n")
	g.Expect(err).To(HaveOccurred())
	_, err = loadSettings(t, strings.Replace(validSettings, "name = edge-1", "name =", 1))
	g.Expect(err).To(HaveOccurred())
}

func TestLoadSettingsRejectsInvalidFiles(t *testing.T) {
	for name, change := range map[string][2]string{
		"unknown key":           {"[store]", "[store]\nsocket = 1"},
		"unknown section":       {"[store]", "[stores]"},
		"empty name":            {"name = edge-1", "name ="},
		"domain without region": {"north = r1", "south = r1"},
		"address without port":  {"10.0.0.1:3", "10.0.0.1"},
		"zero processor share":  {"0.192", "0"},
		"malformed switch":      {"[store]", "[placement]\nlearn_limits = perhaps\n[store]"},
		"relay of one":          {"[store]", "[placement]\nrelay_from_instances = 1\n[store]"},
		"negative link":         {"[store]", "[placement]\nregion_link_mbps = -1\n[store]"},
		"link without a number": {"[store]", "[placement]\nregion_link_mbps = NaN\n[store]"},
		"endless link":          {"[store]", "[placement]\nregion_link_mbps = Inf\n[store]"},
		"malformed number":      {"0.192", "much"},
		"too little memory":     {"[limits]", "[limits]\nmemory_mib = 8"},
		"zero window":           {"[limits]", "[bounds]\nquota_window_s = 0\n[limits]"},
		"negative quota slack":  {"[limits]", "[bounds]\nquota_slack = -1\n[limits]"},
	} {
		_, err := loadSettings(t, strings.Replace(validSettings, change[0], change[1], 1))
		NewWithT(t).Expect(err).To(HaveOccurred(), name)
	}
	_, err := LoadSettings(filepath.Join(t.TempDir(), "missing.ini"))
	NewWithT(t).Expect(err).To(HaveOccurred())
}
