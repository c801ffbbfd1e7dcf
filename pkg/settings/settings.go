// Package settings reads the start-up settings of the entry daemon from an INI
// file. Settings are fixed for the life of a process; what changes at run
// time is in records.
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

// Settings are the settings of an entry instance.
type Settings struct {
	Instance Instance
	Listen   Listen
	Peer     Peer
	Platform Platform
	Callers  Callers
	Limits   Limits
	Timeouts Timeouts
	Drain    Drain
	Log      Log
}

// Instance says who and where the instance is.
type Instance struct {
	ID     string
	Domain string
	Region string
	// RegionDomains are the failure domains of the instance's own region.
	RegionDomains []string
}

// Listen holds the listen addresses.
type Listen struct {
	Callers string
	Peer    string
	Admin   string
}

// Peer says how other instances are found, and how they reach this one.
type Peer struct {
	Seeds []string
	// Advertise is the peer address that other instances use; it is the
	// listen address if empty.
	Advertise string
	// AdvertiseAdmin is the admin address that other instances report.
	AdvertiseAdmin string
}

// Platform says where the platform is.
type Platform struct {
	Address string
	Timeout time.Duration
}

// Callers says whom to serve.
type Callers struct {
	TrustTeamHeader bool
	AllowAnonymous  bool
}

// Limits bound what the instance holds.
type Limits struct {
	RequestBytes int64
	AnswerBytes  int64
	EventBytes   int64
	Requests     int
	Connections  int
	ResumeTries  int
	KeptRequests int
}

// Timeouts are time limits outside of a request's own deadline.
type Timeouts struct {
	ReadHeader    time.Duration
	ReadBody      time.Duration
	Idle          time.Duration
	Linger        time.Duration
	ResumeBackoff time.Duration
	Release       time.Duration
	Deadline      time.Duration
}

// Drain says how the instance leaves.
type Drain struct {
	BalancerDelay time.Duration
}

// Log says what is logged.
type Log struct {
	Level string
}

// Default returns the settings with every default applied. The instance ID
// and the failure domain have no default.
func Default() Settings {
	var s Settings
	for _, row := range rows {
		if row.def != "" {
			// The test of the table reads every default.
			_ = row.set(&s, row.def)
		}
	}
	return s
}

// Load reads the settings file. The error has the kind bad_settings and holds
// one line per fault, each of which names file, section, key and what was
// expected.
func Load(path string) (Settings, error) {
	return read(path, path)
}

// Parse reads settings from data; name stands for the file in messages.
func Parse(name string, data []byte) (Settings, error) {
	return read(name, data)
}

func read(name string, source any) (Settings, error) {
	file, err := ini.LoadSources(ini.LoadOptions{
		// Shadows make a key that is set twice visible; ini would keep the last.
		AllowShadows:               true,
		AllowDuplicateShadowValues: true,
		IgnoreInlineComment:        true,
		KeyValueDelimiters:         "=",
	}, source)
	if err != nil {
		return Settings{}, errkind.New(errkind.BadSettings, "%s: not readable as INI: %s", name, oneLine(err.Error()))
	}
	s := Default()
	faults := append(unknown(name, file), apply(name, file, &s)...)
	if len(faults) > 0 {
		sort.Strings(faults)
		return Settings{}, errkind.New(errkind.BadSettings, "%s", strings.Join(faults, "\n"))
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

func unknown(name string, file *ini.File) []string {
	known := map[string]map[string]bool{}
	for _, row := range rows {
		if known[row.section] == nil {
			known[row.section] = map[string]bool{}
		}
		known[row.section][row.key] = true
	}
	var faults []string
	for _, section := range file.Sections() {
		keys, ok := known[section.Name()]
		if !ok && (section.Name() != ini.DefaultSection || len(section.Keys()) > 0) {
			faults = append(faults, fmt.Sprintf("%s: [%s]: unknown section", name, oneLine(section.Name())))
			continue
		}
		for _, key := range section.Keys() {
			if !keys[key.Name()] {
				faults = append(faults, fmt.Sprintf("%s: [%s] %s: unknown key", name, section.Name(), oneLine(key.Name())))
			}
		}
	}
	return faults
}

func apply(name string, file *ini.File, s *Settings) []string {
	var faults []string
	for _, row := range rows {
		text, err := lookup(file, row)
		if err == nil && text != "" {
			err = row.set(s, text)
		}
		if err != nil {
			faults = append(faults, fmt.Sprintf("%s: [%s] %s: %s; expected %s", name, row.section, row.key, oneLine(err.Error()), row.expected()))
		}
	}
	return faults
}

func lookup(file *ini.File, row row) (string, error) {
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
	if text == "" && (row.required || row.def != "") {
		return "", errors.New("empty")
	}
	return text, nil
}
