package testbed

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/rosemarywing/rosemarywing/pkg/platform"
	"github.com/rosemarywing/rosemarywing/pkg/record"
)

// clusterReadyTimeout bounds the wait of WaitReady for each entry instance.
const clusterReadyTimeout = 30 * time.Second

// UpstreamSpec describes an upstream to start: a stand-in engine or service.
type UpstreamSpec struct {
	Name   string
	Domain string
	// Record is the upstream record to write; Address and Domain are filled in.
	Record record.Upstream
	// Args are additional command-line arguments of the stand-in.
	Args []string
}

// ClusterSpec describes a cluster to start.
type ClusterSpec struct {
	// BinDir is the directory of the compiled programs.
	BinDir string
	// SettingsDir is the directory to which the settings files of the entries are written.
	SettingsDir string
	// Domains lists the failure domains; EntriesPerDomain is the number of entry
	// instances in each.
	Domains          []string
	EntriesPerDomain int
	Engines          []UpstreamSpec
	// Services are upstreams that run the stand-in service.
	Services []UpstreamSpec
	// Records are written to the platform before the entries start.
	Records []record.Envelope
	// Regions maps each failure domain to its region. If it is empty, each domain
	// is a region of its own. Otherwise the instances of all domains are added to
	// the platform's instance list before the first one starts: instances read
	// the list rarely, and send nothing to a domain that was missing from it
	// until they read it again.
	Regions map[string]string
	// ExtraSettings are additional lines of the settings file of each entry, by section.
	ExtraSettings map[string][]string
}

// Entry is an entry instance, and the links to its peer port and to the platform.
type Entry struct {
	*Process
	ID     string
	Domain string
	// PeerLink is the link over which other instances connect to this one, and
	// PlatformLink the link over which this one connects to the platform.
	PeerLink     *Link
	PlatformLink *Link
	args         []string
}

// CallersURL returns the base URL of the interface for callers.
func (e *Entry) CallersURL() string { return "http://" + e.Ready["callers"] }

// AdminURL returns the base URL of the admin interface.
func (e *Entry) AdminURL() string { return "http://" + e.Ready["admin"] }

// Upstream is a running stand-in engine or service.
type Upstream struct {
	*Process
	// Link is the link over which entries connect to it.
	Link    *Link
	program string
	args    []string
}

// DirectURL returns the base URL of the stand-in, bypassing its link.
func (u *Upstream) DirectURL() string { return "http://" + u.Ready["address"] }

// Cluster is a running cluster: the stand-in platform, upstreams and entry
// instances, each in its own process.
type Cluster struct {
	spec      ClusterSpec
	Platform  *Process
	Entries   []*Entry
	Upstreams map[string]*Upstream
}

// StartCluster starts the platform, the upstreams and the entries of a spec.
// On an error, the processes started so far are stopped.
func StartCluster(spec ClusterSpec) (*Cluster, error) {
	c := &Cluster{spec: spec, Upstreams: map[string]*Upstream{}}
	if err := c.start(); err != nil {
		c.Stop()
		return nil, err
	}
	return c, nil
}

func (c *Cluster) start() error {
	var err error
	c.Platform, err = Start("platform", c.programPath("standin-platform"))
	if err != nil {
		return err
	}
	for _, engine := range c.spec.Engines {
		if err := c.startUpstream("standin-engine", engine); err != nil {
			return err
		}
	}
	for _, service := range c.spec.Services {
		if err := c.startUpstream("standin-service", service); err != nil {
			return err
		}
	}
	for _, envelope := range c.spec.Records {
		if err := c.Apply(envelope); err != nil {
			return err
		}
	}
	if err := c.startEntries(); err != nil {
		return err
	}
	return c.WaitReady()
}

func (c *Cluster) programPath(name string) string { return filepath.Join(c.spec.BinDir, name) }

func (c *Cluster) startUpstream(program string, spec UpstreamSpec) error {
	args := append([]string{"--name", spec.Name}, spec.Args...)
	process, err := Start(spec.Name, c.programPath(program), args...)
	if err != nil {
		return err
	}
	link, err := NewLink(process.Ready["address"])
	if err != nil {
		process.Kill()
		return err
	}
	c.Upstreams[spec.Name] = &Upstream{Process: process, Link: link, program: c.programPath(program), args: args}
	upstreamRecord := spec.Record
	upstreamRecord.Address = link.Address()
	upstreamRecord.Domain = spec.Domain
	return c.ApplyRecord(record.SchemaV2, record.KindUpstream, spec.Name, upstreamRecord)
}

// RestartUpstream starts a new process for an upstream whose process has exited.
// The upstream keeps its link, and so its address.
func (c *Cluster) RestartUpstream(u *Upstream) error {
	process, err := Start(u.Name, u.program, u.args...)
	if err != nil {
		return err
	}
	u.Process = process
	u.Link.SetTarget(process.Ready["address"])
	return nil
}

func (c *Cluster) startEntries() error {
	peerLinks := map[string][]*Link{}
	for _, domain := range c.spec.Domains {
		for range c.spec.EntriesPerDomain {
			link, err := NewLink("127.0.0.1:1")
			if err != nil {
				return err
			}
			peerLinks[domain] = append(peerLinks[domain], link)
		}
	}
	if err := c.registerEntries(peerLinks); err != nil {
		return err
	}
	for _, domain := range c.spec.Domains {
		for i, link := range peerLinks[domain] {
			if err := c.addEntry(domain, i, link, peerLinks[domain]); err != nil {
				return err
			}
		}
	}
	return nil
}

// registerEntries adds the entries that are about to start to the platform's
// instance list if the spec has regions.
func (c *Cluster) registerEntries(peerLinks map[string][]*Link) error {
	if len(c.spec.Regions) == 0 {
		return nil
	}
	for domain, links := range peerLinks {
		for i, link := range links {
			err := c.RegisterInstance(platform.ListedInstance{Name: entryID(domain, i), Address: link.Address(), Domain: domain, Role: "entry"})
			if err != nil {
				return err
			}
		}
	}
	return nil
}

func entryID(domain string, index int) string { return fmt.Sprintf("%s-%d", domain, index) }

// addEntry writes the settings file of a new entry and starts the entry.
func (c *Cluster) addEntry(domain string, index int, peerLink *Link, domainLinks []*Link) error {
	platformLink, err := NewLink(c.Platform.Ready["address"])
	if err != nil {
		return err
	}
	e := &Entry{ID: entryID(domain, index), Domain: domain, PeerLink: peerLink, PlatformLink: platformLink}
	settingsPath := filepath.Join(c.spec.SettingsDir, e.ID+".ini")
	if err := os.WriteFile(settingsPath, []byte(c.settingsFile(e, domainLinks)), 0o600); err != nil {
		return err
	}
	e.args = []string{"--config", settingsPath}
	c.Entries = append(c.Entries, e)
	return c.StartEntry(e)
}

// StartEntry starts the process of an entry that is not running, with the settings
// file that addEntry wrote, and updates the platform's instance list.
func (c *Cluster) StartEntry(e *Entry) error {
	process, err := Start(e.ID, c.programPath("rosemarywing-entry"), e.args...)
	if err != nil {
		return err
	}
	e.Process = process
	e.PeerLink.SetTarget(process.Ready["peer"])
	return c.RegisterInstance(platform.ListedInstance{
		Name: e.ID, Address: e.PeerLink.Address(), AdminAddress: process.Ready["admin"], Domain: e.Domain, Role: "entry",
	})
}

// settingsFile returns the contents of the settings file of an entry. Its seeds are the
// other links in domainLinks, the peer links of all entries of its failure domain.
func (c *Cluster) settingsFile(e *Entry, domainLinks []*Link) string {
	var seeds []string
	for _, link := range domainLinks {
		if link != e.PeerLink {
			seeds = append(seeds, link.Address())
		}
	}
	sections := map[string][]string{
		"instance": c.placementSettings(e),
		"listen":   {"callers = 127.0.0.1:0", "peer = 127.0.0.1:0", "admin = 127.0.0.1:0"},
		"peer":     {"advertise = " + e.PeerLink.Address()},
		"platform": {"address = " + e.PlatformLink.Address()},
		"callers":  {"trust_team_header = true"},
		"drain":    {"balancer_delay = 100ms"},
	}
	if len(seeds) > 0 {
		sections["peer"] = append(sections["peer"], "seeds = "+strings.Join(seeds, ","))
	}
	var text strings.Builder
	for section, lines := range c.spec.ExtraSettings {
		sections[section] = append(sections[section], lines...)
	}
	for section, lines := range sections {
		fmt.Fprintf(&text, "[%s]\n%s\n", section, strings.Join(lines, "\n"))
	}
	return text.String()
}

// placementSettings returns the lines of the section [instance]: the ID, failure
// domain and region of the entry.
func (c *Cluster) placementSettings(e *Entry) []string {
	region := c.spec.Regions[e.Domain]
	if region == "" {
		return []string{"id = " + e.ID, "domain = " + e.Domain, "region = test"}
	}
	var regionDomains []string
	for _, domain := range c.spec.Domains {
		if c.spec.Regions[domain] == region {
			regionDomains = append(regionDomains, domain)
		}
	}
	return []string{"id = " + e.ID, "domain = " + e.Domain, "region = " + region, "region_domains = " + strings.Join(regionDomains, ",")}
}

// ApplyRecord writes a record with the given spec to the platform.
func (c *Cluster) ApplyRecord(schema string, kind record.Kind, name string, spec any) error {
	body, err := json.Marshal(spec)
	if err != nil {
		return err
	}
	return c.Apply(record.Envelope{Schema: schema, Kind: kind, Name: name, Spec: body})
}

// Apply writes a record to the platform.
func (c *Cluster) Apply(envelope record.Envelope) error {
	body, err := json.Marshal(envelope)
	if err != nil {
		return err
	}
	path := fmt.Sprintf("/objects/%s/%s", envelope.Kind, envelope.Name)
	return PutJSON(c.PlatformURL()+path, json.RawMessage(body))
}

// RegisterInstance adds an instance to the platform's instance list or replaces it.
func (c *Cluster) RegisterInstance(instance platform.ListedInstance) error {
	return PutJSON(c.PlatformURL()+"/admin/instances/"+instance.Name, instance)
}

// PlatformURL returns the base URL of the platform, bypassing the links.
func (c *Cluster) PlatformURL() string { return "http://" + c.Platform.Ready["address"] }

// WaitReady waits until every entry is ready and has the other entries of its
// failure domain in its member list.
func (c *Cluster) WaitReady() error {
	for _, e := range c.Entries {
		if err := Eventually(clusterReadyTimeout, func() error { return c.checkReady(e) }); err != nil {
			return fmt.Errorf("%s is not ready: %w: %s", e.ID, err, e.Output())
		}
	}
	return nil
}

func (c *Cluster) checkReady(e *Entry) error {
	if err := GetJSON(e.AdminURL()+"/readyz", nil); err != nil {
		return err
	}
	members, err := e.Members()
	if err != nil {
		return err
	}
	for _, other := range c.Entries {
		if other.Domain == e.Domain && !members[other.ID] {
			return fmt.Errorf("%s does not know %s", e.ID, other.ID)
		}
	}
	return nil
}

// Members returns the set of instance IDs in the member list of the entry.
func (e *Entry) Members() (map[string]bool, error) {
	var body struct {
		Members []struct {
			ID string `json:"id"`
		} `json:"members"`
	}
	if err := GetJSON(e.AdminURL()+"/status/members", &body); err != nil {
		return nil, err
	}
	members := map[string]bool{}
	for _, m := range body.Members {
		members[m.ID] = true
	}
	return members, nil
}

// Stop kills all processes and closes all links.
func (c *Cluster) Stop() {
	for _, e := range c.Entries {
		if e.Process != nil {
			e.Stop()
		}
		e.PeerLink.Close()
		e.PlatformLink.Close()
	}
	for _, u := range c.Upstreams {
		u.Stop()
		u.Link.Close()
	}
	if c.Platform != nil {
		c.Platform.Stop()
	}
}

// pollInterval is the time between two checks of Eventually.
const pollInterval = 20 * time.Millisecond

// Eventually repeats the check until it succeeds or the timeout has passed, and
// returns the last error. The timeout only bounds failing tests.
func Eventually(timeout time.Duration, check func() error) error {
	deadline := time.Now().Add(timeout)
	for {
		err := check()
		if err == nil || time.Now().After(deadline) {
			return err
		}
		time.Sleep(pollInterval)
	}
}
