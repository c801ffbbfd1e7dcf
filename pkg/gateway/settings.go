package gateway

import (
	"errors"
	"fmt"
	"net"
	"time"

	"gopkg.in/ini.v1"

	"github.com/rosemarywing/rosemarywing/pkg/errkind"
	"github.com/rosemarywing/rosemarywing/pkg/loadshare"
)

// Settings are the start-up settings of a gateway instance, read from an INI
// file. Configuration that changes at run time is kept in the store.
type Settings struct {
	Instance InstanceSettings `ini:"instance"`
	Listen   ListenSettings   `ini:"listen"`
	Store    StoreSettings    `ini:"store"`
	Limits   LimitSettings    `ini:"limits"`
	Bounds   BoundSettings    `ini:"bounds"`
	// Placement are settings of the choice of upstreams.
	Placement PlacementSettings `ini:"placement"`
	// Regions maps each failure domain to its region. It is read from section
	// [domains].
	Regions map[string]string `ini:"-"`
}

// InstanceSettings identify the instance and its failure domain.
type InstanceSettings struct {
	Name   string `ini:"name"`
	Domain string `ini:"domain"`
	// FirstStart is true when the whole deployment starts for the first time, so
	// that the store holds neither records nor quota usage of earlier starts.
	FirstStart bool `ini:"first_start"`
}

// ListenSettings are listen addresses, each a host and a port.
type ListenSettings struct {
	Callers string `ini:"callers"`
	Ready   string `ini:"ready"`
	// Peers is used for UDP (reports) and TCP (relayed store copies).
	Peers string `ini:"peers"`
	Admin string `ini:"admin"`
}

// StoreSettings hold the address of the platform's store.
type StoreSettings struct {
	Address string `ini:"address"`
}

// LimitSettings are the resources that the process may use.
type LimitSettings struct {
	MemoryMiB   int `ini:"memory_mib"`
	Descriptors int `ini:"descriptors"`
	// ProcessorShare is the fraction of a core that the process may use. Of equally
	// suitable instances, the one with the largest share becomes the relay of its
	// failure domain, which reads the store for the others.
	ProcessorShare float64 `ini:"processor_share"`
}

// PlacementSettings choose between ways to place requests. All instances should have the
// same.
type PlacementSettings struct {
	// LearnLimits lowers the number of requests at an engine to what it takes well, as
	// found from its answers.
	LearnLimits bool `ini:"learn_limits"`
	// EjectFailing, ShareTeams and RefuseEarly switch the rules of docs/design/competition.md
	// on: for upstreams that fail each request, for teams that use more than their share, and
	// for requests that can no longer begin in time.
	EjectFailing bool `ini:"eject_failing"`
	ShareTeams   bool `ini:"share_teams"`
	RefuseEarly  bool `ini:"refuse_early"`
	// RelayFromInstances is the size of a failure domain from which a relay places the
	// requests of all its instances.
	RelayFromInstances int `ini:"relay_from_instances"`
	// RegionLinkMbps is the capacity of the link between regions in each direction for all
	// traffic; 0 for no bound on the requests placed in other regions.
	RegionLinkMbps float64 `ini:"region_link_mbps"`
}

// BoundSettings are limits that hold for all instances together. Units and meaning
// are described in docs/gateway-settings.md.
type BoundSettings struct {
	ConfigFreshMs    int64   `ini:"config_fresh_ms"`
	StopGraceSeconds float64 `ini:"stop_grace_s"`
	// LeaveNoticeSeconds is how long a stopping instance still accepts connections.
	LeaveNoticeSeconds float64 `ini:"leave_notice_s"`
	RetryRatio         float64 `ini:"retry_ratio"`
	RetryWindowSeconds float64 `ini:"retry_window_s"`
	RetryExtra         float64 `ini:"retry_extra"`
	QuotaWindowSeconds float64 `ini:"quota_window_s"`
	QuotaOverage       float64 `ini:"quota_overage"`
	QuotaSlack         float64 `ini:"quota_slack"`
	// ExposureShare is the part of a service's requests that a faulty version may get while
	// the service moves to it. 0 turns roll-outs off.
	ExposureShare float64 `ini:"exposure_share"`
}

// StopGrace is the time from SIGTERM to SIGKILL.
func (b BoundSettings) StopGrace() time.Duration { return seconds(b.StopGraceSeconds) }

// ConfigFresh is the age above which a configuration is too old to decide which
// keys are valid.
func (b BoundSettings) ConfigFresh() time.Duration {
	return time.Duration(b.ConfigFreshMs) * time.Millisecond
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// defaultSettings returns the values of keys that a settings file does not set.
func defaultSettings() Settings {
	return Settings{
		Limits: LimitSettings{MemoryMiB: 256, Descriptors: 4096, ProcessorShare: 1},
		Bounds: BoundSettings{
			ConfigFreshMs: 5000, StopGraceSeconds: 8, LeaveNoticeSeconds: 3,
			RetryRatio: 0.2, RetryWindowSeconds: 10, RetryExtra: 50,
			QuotaWindowSeconds: 8, QuotaOverage: 0.1, QuotaSlack: 140_000,
		},
		Placement: DefaultPlacement(),
	}
}

// DefaultPlacement returns the settings of the choice of upstreams if a file states none.
func DefaultPlacement() PlacementSettings {
	return PlacementSettings{EjectFailing: true, ShareTeams: true, RefuseEarly: true, RelayFromInstances: loadshare.DefaultRelayFrom}
}

// regionsSection is the section that maps failure domains to regions. Its keys are
// names of failure domains.
const regionsSection = "domains"

// LoadSettings reads and checks a settings file.
func LoadSettings(path string) (Settings, error) {
	file, err := ini.Load(path)
	if err != nil {
		return Settings{}, errkind.Wrap(errkind.BadSettings, err, "settings %s", path)
	}
	unknown := unknownKeys(file)
	dropEmptyValues(file)
	settings := defaultSettings()
	if err := file.StrictMapTo(&settings); err != nil {
		return Settings{}, errkind.Wrap(errkind.BadSettings, err, "settings %s", path)
	}
	settings.Regions = file.Section(regionsSection).KeysHash()
	if err := errors.Join(unknown, settings.validate()); err != nil {
		return Settings{}, errkind.Wrap(errkind.BadSettings, err, "settings %s", path)
	}
	return settings, nil
}

// dropEmptyValues removes the keys without a value, which a template leaves where the
// deployment states none. They keep their defaults.
func dropEmptyValues(file *ini.File) {
	for _, section := range file.Sections() {
		for _, key := range section.Keys() {
			if key.Value() == "" {
				section.DeleteKey(key.Name())
			}
		}
	}
}

// unknownKeys returns an error for keys that the INI library would ignore.
func unknownKeys(file *ini.File) error {
	knownFile := ini.Empty()
	defaults := defaultSettings()
	if err := knownFile.ReflectFrom(&defaults); err != nil {
		return err
	}
	var problems []error
	for _, section := range file.Sections() {
		if section.Name() == regionsSection {
			continue
		}
		for _, key := range section.Keys() {
			if !knownFile.Section(section.Name()).HasKey(key.Name()) {
				problems = append(problems, fmt.Errorf("unknown key %q in section [%s]", key.Name(), section.Name()))
			}
		}
	}
	return errors.Join(problems...)
}

// maxRegionLinkMbps bounds placement.region_link_mbps. A larger value is a wrong unit.
const maxRegionLinkMbps = 1_000_000

func (s Settings) validate() error {
	var problems []error
	for key, address := range map[string]string{
		"listen.callers": s.Listen.Callers, "listen.ready": s.Listen.Ready,
		"listen.peers": s.Listen.Peers, "listen.admin": s.Listen.Admin, "store.address": s.Store.Address,
	} {
		if _, _, err := net.SplitHostPort(address); err != nil {
			problems = append(problems, fmt.Errorf("%s: %q is not host:port", key, address))
		}
	}
	if s.Instance.Name == "" || s.Instance.Domain == "" {
		problems = append(problems, errors.New("instance.name and instance.domain are required"))
	}
	if s.Regions[s.Instance.Domain] == "" {
		problems = append(problems, fmt.Errorf("section [domains] has no region for %q", s.Instance.Domain))
	}
	const minMemoryMiB, minDescriptors = 32, 256
	if s.Limits.MemoryMiB < minMemoryMiB || s.Limits.Descriptors < minDescriptors {
		problems = append(problems, fmt.Errorf("limits: at least %d MiB of memory and %d descriptors are required", minMemoryMiB, minDescriptors))
	}
	if s.Limits.ProcessorShare <= 0 {
		problems = append(problems, errors.New("limits.processor_share must be above 0"))
	}
	bounds := s.Bounds
	if bounds.ConfigFreshMs <= 0 || bounds.StopGraceSeconds <= 0 || bounds.RetryWindowSeconds <= 0 || bounds.QuotaWindowSeconds <= 0 {
		problems = append(problems, errors.New("bounds: times must be above 0"))
	}
	if bounds.LeaveNoticeSeconds < 0 || bounds.RetryRatio < 0 || bounds.RetryExtra < 0 || bounds.QuotaOverage < 0 || bounds.QuotaSlack < 0 || bounds.ExposureShare < 0 {
		problems = append(problems, errors.New("bounds: no value may be negative"))
	}
	if s.Placement.RelayFromInstances < 2 {
		problems = append(problems, errors.New("placement.relay_from_instances must be at least 2"))
	}
	if !(s.Placement.RegionLinkMbps >= 0 && s.Placement.RegionLinkMbps <= maxRegionLinkMbps) {
		problems = append(problems, fmt.Errorf("placement.region_link_mbps must be between 0 and %d", maxRegionLinkMbps))
	}
	if bounds.ExposureShare > 1 {
		problems = append(problems, errors.New("bounds.exposure_share must not be above 1"))
	}
	return errors.Join(problems...)
}
