// Package settings reads the start-up settings of the entry daemon from an INI
// file. They do not change while the process runs; configuration that does is
// stored in records on the platform.
package settings

import (
	"errors"
	"fmt"
	"sort"
	"strings"
	"time"

	"gopkg.in/ini.v1"

	"github.com/rosemarywing/rosemarywing/pkg/errkind"
)

// Settings are the settings of an entry instance. The table allSettings
// documents each of them with its unit, range and default.
type Settings struct {
	Instance  Instance
	Listen    Listen
	Peer      Peer
	Platform  Platform
	Callers   Callers
	Limits    Limits
	Timeouts  Timeouts
	Drain     Drain
	Log       Log
	Scheduler Scheduler
}

// Instance holds the identity and location of the instance.
type Instance struct {
	ID     string
	Domain string
	Region string
	// RegionDomains are the failure domains of the instance's own region.
	RegionDomains []string
}

// Scheduler configures how the scheduler of each pool places requests on upstreams.
type Scheduler struct {
	// Policy is one of sched.Policies.
	Policy string
}

// Listen holds the addresses on which the instance listens.
type Listen struct {
	Callers string
	Peer    string
	Admin   string
}

// Peer configures how the instance finds other instances and how they reach it.
type Peer struct {
	Seeds []string
	// Advertise is the peer address that other instances use. Load and Parse
	// replace an empty one by the listen address.
	Advertise string
	// AdvertiseAdmin is the admin address that other instances report. Load and
	// Parse replace an empty one by the listen address.
	AdvertiseAdmin string
}

// Platform configures the access to the platform.
type Platform struct {
	Address string
	Timeout time.Duration
}

// Callers configures the authentication of callers.
type Callers struct {
	TrustTeamHeader bool
	AllowAnonymous  bool
}

// Limits bound the resources that the instance uses for requests.
type Limits struct {
	RequestBytes int64
	AnswerBytes  int64
	EventBytes   int64
	// AnswerMemoryBytes is shared by all requests.
	AnswerMemoryBytes int64
	Requests          int
	Connections       int
	ResumeTries       int
	KeptRequests      int
}

// Timeouts hold time limits, and the deadline of requests whose tier sets none.
type Timeouts struct {
	ReadHeader    time.Duration
	ReadBody      time.Duration
	Idle          time.Duration
	Linger        time.Duration
	ResumeBackoff time.Duration
	Release       time.Duration
	Deadline      time.Duration
}

// Drain configures the shutdown of the instance.
type Drain struct {
	BalancerDelay time.Duration
}

// Log configures logging.
type Log struct {
	Level string
}

// Default returns settings that hold the defaults. The instance ID
// and the failure domain have no default.
func Default() Settings {
	var s Settings
	for _, row := range allSettings {
		if row.defaultText != "" {
			// Defaults are valid: a test parses every one of them.
			_ = row.set(&s, row.defaultText)
		}
	}
	return s
}

// Load reads a settings file. The error has the kind bad_settings and one line
// per problem, which names the file, the section, the key and what was expected.
func Load(path string) (Settings, error) {
	return loadSource(path, path)
}

// Parse reads settings from data. Error messages give name as the file.
func Parse(name string, data []byte) (Settings, error) {
	return loadSource(name, data)
}

func loadSource(name string, source any) (Settings, error) {
	file, err := ini.LoadSources(ini.LoadOptions{
		// Without shadow values, ini silently keeps the last value of a key that
		// is set twice.
		AllowShadows:               true,
		AllowDuplicateShadowValues: true,
		IgnoreInlineComment:        true,
		KeyValueDelimiters:         "=",
	}, source)
	if err != nil {
		return Settings{}, errkind.New(errkind.BadSettings, "%s: not a valid INI file: %s", name, oneLine(err.Error()))
	}
	s := Default()
	problems := append(findUnknown(name, file), applyValues(name, file, &s)...)
	if len(problems) > 0 {
		sort.Strings(problems)
		return Settings{}, errkind.New(errkind.BadSettings, "%s", strings.Join(problems, "\n"))
	}
	if s.Peer.Advertise == "" {
		s.Peer.Advertise = s.Listen.Peer
	}
	if s.Peer.AdvertiseAdmin == "" {
		s.Peer.AdvertiseAdmin = s.Listen.Admin
	}
	return s, nil
}

func oneLine(text string) string {
	return strings.Join(strings.Fields(text), " ")
}

// findUnknown reports sections and keys of the file that no setting has.
func findUnknown(name string, file *ini.File) []string {
	known := map[string]map[string]bool{}
	for _, row := range allSettings {
		if known[row.section] == nil {
			known[row.section] = map[string]bool{}
		}
		known[row.section][row.key] = true
	}
	var problems []string
	for _, section := range file.Sections() {
		keys, ok := known[section.Name()]
		if !ok && (section.Name() != ini.DefaultSection || len(section.Keys()) > 0) {
			problems = append(problems, fmt.Sprintf("%s: [%s]: unknown section", name, oneLine(section.Name())))
			continue
		}
		for _, key := range section.Keys() {
			if !keys[key.Name()] {
				problems = append(problems, fmt.Sprintf("%s: [%s] %s: unknown key", name, section.Name(), oneLine(key.Name())))
			}
		}
	}
	return problems
}

// applyValues stores the values of the file in s and reports those that are not
// valid.
func applyValues(name string, file *ini.File, s *Settings) []string {
	var problems []string
	for _, row := range allSettings {
		text, err := lookup(file, row)
		if err == nil && text != "" {
			err = row.set(s, text)
		}
		if err != nil {
			problems = append(problems, fmt.Sprintf("%s: [%s] %s: %s; expected %s", name, row.section, row.key, oneLine(err.Error()), row.expectedText()))
		}
	}
	return problems
}

// lookup returns the text of a setting, empty if the file does not set it.
func lookup(file *ini.File, row setting) (string, error) {
	section, err := file.GetSection(row.section)
	if err != nil || !section.HasKey(row.key) {
		if row.required {
			return "", errors.New("not set")
		}
		return "", nil
	}
	values := section.Key(row.key).ValueWithShadows()
	if len(values) > 1 {
		return "", errors.New("set twice")
	}
	text := strings.TrimSpace(section.Key(row.key).Value())
	if text == "" && (row.required || row.defaultText != "") {
		return "", errors.New("empty")
	}
	return text, nil
}
