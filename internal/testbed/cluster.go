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

// readyTimeout bounds the wait until every entry is ready.
const readyTimeout = 30 * time.Second

// Engine describes an engine to start.
type Engine struct {
	Name   string
	Domain string
	// Record is completed with the address.
	Record record.Upstream
	// Args are further arguments of the stand-in.
	Args []string
}

// Spec describes a deployment.
type Spec struct {
	// Bin is the directory with the programs.
	Bin string
	// Dir is a directory for settings files.
	Dir string
	// Domains lists the failure domains; Entries instances run in each.
	Domains []string
	Entries int
	Engines []Engine
	// Services maps the name of an upstream to the record of its service.
	Services []Engine
	// Records are written before the entries start.
	Records []record.Envelope
	// Regions maps each failure domain to its region. Without it, each domain
	// is a region of its own. With it, the instances of all domains are on the
	// platform's list before the first one starts: the list is read rarely, and
	// an instance that misses another domain sends nothing there until then.
	Regions map[string]string
	// Settings are further lines of settings, by section.
	Settings map[string][]string
}

// Entry is a running entry instance and the links to and from it.
type Entry struct {
	*Process
	ID     string
	Domain string
	// Inbound is the link over which other instances reach this one, and
	// ToPlatform the link over which it reaches the platform.
	Inbound    *Link
	ToPlatform *Link
	args       []string
}

// Callers returns the base URL for callers.
func (e *Entry) Callers() string { return "http://" + e.Ready["callers"] }

// Admin returns the base URL of the admin interface.
func (e *Entry) Admin() string { return "http://" + e.Ready["admin"] }

// Upstream is a running stand-in of an engine or a service.
type Upstream struct {
	*Process
	// Link is the link over which entries reach it.
	Link *Link
	path string
	args []string
}

// URL returns the base URL of the stand-in itself, past its link.
func (u *Upstream) URL() string { return "http://" + u.Ready["address"] }

// Cluster is a running deployment.
type Cluster struct {
	spec      Spec
	Platform  *Process
	Entries   []*Entry
	Upstreams map[string]*Upstream
}

// StartCluster starts the platform, the upstreams and the entries of a spec.
// On an error, what was started is stopped.
func StartCluster(spec Spec) (*Cluster, error) {
	c := &Cluster{spec: spec, Upstreams: map[string]*Upstream{}}
	if err := c.start(); err != nil {
		c.Stop()
		return nil, err
	}
	return c, nil
}

func (c *Cluster) start() error {
	var err error
	c.Platform, err = Start("platform", c.program("standin-platform"))
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

func (c *Cluster) program(name string) string { return filepath.Join(c.spec.Bin, name) }

func (c *Cluster) startUpstream(program string, spec Engine) error {
	args := append([]string{"--name", spec.Name}, spec.Args...)
	process, err := Start(spec.Name, c.program(program), args...)
	if err != nil {
		return err
	}
	link, err := NewLink(process.Ready["address"])
	if err != nil {
		process.Kill()
		return err
	}
	c.Upstreams[spec.Name] = &Upstream{Process: process, Link: link, path: c.program(program), args: args}
	up := spec.Record
	up.Address = link.Address()
	up.Domain = spec.Domain
	return c.ApplySpec(record.SchemaV2, record.KindUpstream, spec.Name, up)
}

// Restart starts an upstream anew that has ended, behind the same link.
func (c *Cluster) Restart(u *Upstream) error {
	process, err := Start(u.Name, u.path, u.args...)
	if err != nil {
		return err
	}
	u.Process = process
	u.Link.SetTarget(process.Ready["address"])
	return nil
}

func (c *Cluster) startEntries() error {
	inbound := map[string][]*Link{}
	for _, domain := range c.spec.Domains {
		for range c.spec.Entries {
			link, err := NewLink("127.0.0.1:1")
			if err != nil {
				return err
			}
			inbound[domain] = append(inbound[domain], link)
		}
	}
	if err := c.listEntries(inbound); err != nil {
		return err
	}
	for _, domain := range c.spec.Domains {
		for i, link := range inbound[domain] {
			if err := c.startEntry(domain, i, link, inbound[domain]); err != nil {
				return err
			}
		}
	}
	return nil
}

// listEntries lists the entries that are about to start, if there are regions.
func (c *Cluster) listEntries(inbound map[string][]*Link) error {
	if len(c.spec.Regions) == 0 {
		return nil
	}
	for domain, links := range inbound {
		for i, link := range links {
			err := c.List(platform.ListedInstance{Name: entryID(domain, i), Address: link.Address(), Domain: domain, Role: "entry"})
			if err != nil {
				return err
			}
		}
	}
	return nil
}

func entryID(domain string, number int) string { return fmt.Sprintf("%s-%d", domain, number) }

func (c *Cluster) startEntry(domain string, number int, inbound *Link, peers []*Link) error {
	toPlatform, err := NewLink(c.Platform.Ready["address"])
	if err != nil {
		return err
	}
	e := &Entry{ID: entryID(domain, number), Domain: domain, Inbound: inbound, ToPlatform: toPlatform}
	path := filepath.Join(c.spec.Dir, e.ID+".ini")
	if err := os.WriteFile(path, []byte(c.settings(e, peers)), 0o600); err != nil {
		return err
	}
	e.args = []string{"--config", path}
	c.Entries = append(c.Entries, e)
	return c.StartEntry(e)
}

// StartEntry starts an entry that is not running, with its old settings.
func (c *Cluster) StartEntry(e *Entry) error {
	process, err := Start(e.ID, c.program("rosemarywing-entry"), e.args...)
	if err != nil {
		return err
	}
	e.Process = process
	e.Inbound.SetTarget(process.Ready["peer"])
	return c.List(platform.ListedInstance{
		Name: e.ID, Address: e.Inbound.Address(), AdminAddress: process.Ready["admin"], Domain: e.Domain, Role: "entry",
	})
}

func (c *Cluster) settings(e *Entry, peers []*Link) string {
	var seeds []string
	for _, peer := range peers {
		if peer != e.Inbound {
			seeds = append(seeds, peer.Address())
		}
	}
	sections := map[string][]string{
		"instance": c.place(e),
		"listen":   {"callers = 127.0.0.1:0", "peer = 127.0.0.1:0", "admin = 127.0.0.1:0"},
		"peer":     {"advertise = " + e.Inbound.Address()},
		"platform": {"address = " + e.ToPlatform.Address()},
		"callers":  {"trust_team_header = true"},
		"drain":    {"balancer_delay = 100ms"},
	}
	if len(seeds) > 0 {
		sections["peer"] = append(sections["peer"], "seeds = "+strings.Join(seeds, ","))
	}
	var out strings.Builder
	for section, lines := range c.spec.Settings {
		sections[section] = append(sections[section], lines...)
	}
	for section, lines := range sections {
		fmt.Fprintf(&out, "[%s]\n%s\n", section, strings.Join(lines, "\n"))
	}
	return out.String()
}

// place returns the settings that say where the entry runs.
func (c *Cluster) place(e *Entry) []string {
	region := c.spec.Regions[e.Domain]
	if region == "" {
		return []string{"id = " + e.ID, "domain = " + e.Domain, "region = test"}
	}
	var near []string
	for _, domain := range c.spec.Domains {
		if c.spec.Regions[domain] == region {
			near = append(near, domain)
		}
	}
	return []string{"id = " + e.ID, "domain = " + e.Domain, "region = " + region, "region_domains = " + strings.Join(near, ",")}
}

// ApplySpec writes a record.
func (c *Cluster) ApplySpec(schema string, kind record.Kind, name string, spec any) error {
	body, err := json.Marshal(spec)
	if err != nil {
		return err
	}
	return c.Apply(record.Envelope{Schema: schema, Kind: kind, Name: name, Spec: body})
}

// Apply writes a record.
func (c *Cluster) Apply(envelope record.Envelope) error {
	body, err := json.Marshal(envelope)
	if err != nil {
		return err
	}
	path := fmt.Sprintf("/objects/%s/%s", envelope.Kind, envelope.Name)
	return PutJSON(c.PlatformURL()+path, json.RawMessage(body))
}

// List puts an instance on the platform's instance list.
func (c *Cluster) List(instance platform.ListedInstance) error {
	return PutJSON(c.PlatformURL()+"/admin/instances/"+instance.Name, instance)
}

// PlatformURL returns the base URL of the platform itself, past the links.
func (c *Cluster) PlatformURL() string { return "http://" + c.Platform.Ready["address"] }

// WaitReady waits until every entry is ready and knows the other entries of
// its domain.
func (c *Cluster) WaitReady() error {
	for _, e := range c.Entries {
		if err := Eventually(readyTimeout, func() error { return c.ready(e) }); err != nil {
			return fmt.Errorf("%s is not ready: %w: %s", e.ID, err, e.Output())
		}
	}
	return nil
}

func (c *Cluster) ready(e *Entry) error {
	if err := GetJSON(e.Admin()+"/readyz", nil); err != nil {
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

// Members returns the live members that the entry knows.
func (e *Entry) Members() (map[string]bool, error) {
	var body struct {
		Members []struct {
			ID string `json:"id"`
		} `json:"members"`
	}
	if err := GetJSON(e.Admin()+"/status/members", &body); err != nil {
		return nil, err
	}
	members := map[string]bool{}
	for _, m := range body.Members {
		members[m.ID] = true
	}
	return members, nil
}

// Stop ends everything.
func (c *Cluster) Stop() {
	for _, e := range c.Entries {
		if e.Process != nil {
			e.Stop()
		}
		e.Inbound.Close()
		e.ToPlatform.Close()
	}
	for _, u := range c.Upstreams {
		u.Stop()
		u.Link.Close()
	}
	if c.Platform != nil {
		c.Platform.Stop()
	}
}

// pollInterval is the time between two tries of Eventually.
const pollInterval = 20 * time.Millisecond

// Eventually tries until it succeeds or the timeout has passed. The timeout
// only bounds a failing test.
func Eventually(timeout time.Duration, try func() error) error {
	deadline := time.Now().Add(timeout)
	for {
		err := try()
		if err == nil || time.Now().After(deadline) {
			return err
		}
		time.Sleep(pollInterval)
	}
}
