package settings

import (
	"fmt"
	"net"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rosemarywing/rosemarywing/pkg/sched"
)

// setting describes one setting and how it is parsed.
type setting struct {
	section, key string
	unit         string
	// rangeText describes the allowed values besides the unit.
	rangeText string
	// defaultText is the default as it would be written in the file.
	defaultText string
	required    bool
	// doc is one or two sentences for operators.
	doc string
	// set parses the text, checks it and stores the value in s.
	set func(s *Settings, text string) error
}

// expectedText describes the allowed values for error messages and the file of
// defaults.
func (r setting) expectedText() string {
	if r.rangeText == "" {
		return r.unit
	}
	return r.unit + ", " + r.rangeText
}

// namePattern permits no dot, because dots separate the fields of a request ID.
var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,62}[a-z0-9])?$`)

const (
	nameRange = "1 to 64 of a-z, 0-9 and '-'"
	mebibyte  = 1 << 20
)

func nameSetting(section, key, def, doc string, field func(*Settings) *string) setting {
	return setting{section: section, key: key, unit: "name", rangeText: nameRange, defaultText: def, required: def == "", doc: doc,
		set: func(s *Settings, text string) error {
			if !namePattern.MatchString(text) {
				return fmt.Errorf("%q is not a name", text)
			}
			*field(s) = text
			return nil
		}}
}

func nameListSetting(section, key, doc string, field func(*Settings) *[]string) setting {
	return setting{section: section, key: key, unit: "names separated by commas", rangeText: nameRange + " each", doc: doc,
		set: func(s *Settings, text string) error {
			return parseList(text, field(s), func(item string) error {
				if !namePattern.MatchString(item) {
					return fmt.Errorf("%q is not a name", item)
				}
				return nil
			})
		}}
}

// parseList stores the items of a comma-separated list in field, unless check
// rejects one of them.
func parseList(text string, field *[]string, check func(string) error) error {
	var items []string
	for item := range strings.SplitSeq(text, ",") {
		item = strings.TrimSpace(item)
		if err := check(item); err != nil {
			return err
		}
		items = append(items, item)
	}
	*field = items
	return nil
}

// checkAddress requires the form host:port; the host may be empty unless
// requireHost is set.
func checkAddress(text string, requireHost bool) error {
	host, port, err := net.SplitHostPort(text)
	if err != nil {
		return fmt.Errorf("%q is not host:port", text)
	}
	if requireHost && host == "" {
		return fmt.Errorf("%q has no host", text)
	}
	if _, err := strconv.ParseUint(port, 10, 16); err != nil {
		return fmt.Errorf("%q has no port from 0 to 65535", text)
	}
	return nil
}

func addressSetting(section, key, def, doc string, requireHost bool, field func(*Settings) *string) setting {
	return setting{section: section, key: key, unit: "host:port", rangeText: "port 0 to 65535", defaultText: def, doc: doc,
		set: func(s *Settings, text string) error {
			if err := checkAddress(text, requireHost); err != nil {
				return err
			}
			*field(s) = text
			return nil
		}}
}

func addressListSetting(section, key, doc string, field func(*Settings) *[]string) setting {
	return setting{section: section, key: key, unit: "host:port separated by commas", rangeText: "port 0 to 65535", doc: doc,
		set: func(s *Settings, text string) error {
			return parseList(text, field(s), func(item string) error { return checkAddress(item, true) })
		}}
}

func durationSetting(section, key string, def, minimum, maximum time.Duration, doc string, field func(*Settings) *time.Duration) setting {
	return setting{section: section, key: key, unit: "duration with unit (ms, s, m, h)", rangeText: fmt.Sprintf("%v to %v", minimum, maximum),
		defaultText: def.String(), doc: doc,
		set: func(s *Settings, text string) error {
			value, err := time.ParseDuration(text)
			if err != nil {
				return fmt.Errorf("%q is not a duration", text)
			}
			if value < minimum || value > maximum {
				return fmt.Errorf("%v is out of range", value)
			}
			*field(s) = value
			return nil
		}}
}

func numberSetting[T int | int64](section, key, unit string, def, minimum, maximum T, doc string, field func(*Settings) *T) setting {
	return setting{section: section, key: key, unit: unit, rangeText: fmt.Sprintf("%d to %d", minimum, maximum),
		defaultText: strconv.FormatInt(int64(def), 10), doc: doc,
		set: func(s *Settings, text string) error {
			value, err := strconv.ParseInt(text, 10, 64)
			if err != nil {
				return fmt.Errorf("%q is not a whole number", text)
			}
			if value < int64(minimum) || value > int64(maximum) {
				return fmt.Errorf("%d is out of range", value)
			}
			*field(s) = T(value)
			return nil
		}}
}

func boolSetting(section, key string, def bool, doc string, field func(*Settings) *bool) setting {
	return setting{section: section, key: key, unit: "true or false", defaultText: strconv.FormatBool(def), doc: doc,
		set: func(s *Settings, text string) error {
			if text != "true" && text != "false" {
				return fmt.Errorf("%q is neither true nor false", text)
			}
			*field(s) = text == "true"
			return nil
		}}
}

func enumSetting(section, key, def, doc string, allowed []string, field func(*Settings) *string) setting {
	return setting{section: section, key: key, unit: "one of " + strings.Join(allowed, ", "), defaultText: def, doc: doc,
		set: func(s *Settings, text string) error {
			if !slices.Contains(allowed, text) {
				return fmt.Errorf("%q is not allowed", text)
			}
			*field(s) = text
			return nil
		}}
}

// allSettings is the table of all settings, in the order of the documentation.
var allSettings = []setting{
	nameSetting("instance", "id", "", "Unique name of the instance.",
		func(s *Settings) *string { return &s.Instance.ID }),
	nameSetting("instance", "domain", "", "Failure domain of the instance.",
		func(s *Settings) *string { return &s.Instance.Domain }),
	nameSetting("instance", "region", "local", "Region of the failure domain.",
		func(s *Settings) *string { return &s.Instance.Region }),
	nameListSetting("instance", "region_domains", "Failure domains of the instance's own region. They are tried when the local one cannot serve a request; all others count as other regions and are tried last, within the byte budget between regions.",
		func(s *Settings) *[]string { return &s.Instance.RegionDomains }),

	addressSetting("listen", "callers", "127.0.0.1:8080", "Listen address for requests of callers.", false,
		func(s *Settings) *string { return &s.Listen.Callers }),
	addressSetting("listen", "peer", "127.0.0.1:8081", "Listen address for other instances.", false,
		func(s *Settings) *string { return &s.Listen.Peer }),
	addressSetting("listen", "admin", "127.0.0.1:8082", "Listen address for health, readiness, metrics and status.", false,
		func(s *Settings) *string { return &s.Listen.Admin }),

	addressListSetting("peer", "seeds", "Peer addresses of the instances that are contacted first for the member list and the configuration.",
		func(s *Settings) *[]string { return &s.Peer.Seeds }),
	addressSetting("peer", "advertise", "", "Peer address that other instances use; the listen address if not set.", true,
		func(s *Settings) *string { return &s.Peer.Advertise }),
	addressSetting("peer", "advertise_admin", "", "Admin address that other instances report; the listen address if not set.", true,
		func(s *Settings) *string { return &s.Peer.AdvertiseAdmin }),

	addressSetting("platform", "address", "127.0.0.1:8090", "Address of the platform's object API.", true,
		func(s *Settings) *string { return &s.Platform.Address }),
	durationSetting("platform", "timeout", 2*time.Second, 100*time.Millisecond, time.Minute,
		"Time limit of one call to the platform; a watch has none.",
		func(s *Settings) *time.Duration { return &s.Platform.Timeout }),

	boolSetting("callers", "trust_team_header", false, "Take the team from Rosemarywing-Team; enable only behind a load balancer that sets it.",
		func(s *Settings) *bool { return &s.Callers.TrustTeamHeader }),
	boolSetting("callers", "allow_anonymous", false, "Serve callers without a key as team 'default'.",
		func(s *Settings) *bool { return &s.Callers.AllowAnonymous }),

	numberSetting("limits", "request_bytes", "bytes", 32*mebibyte, 1024, 256*mebibyte, "Largest request body.",
		func(s *Settings) *int64 { return &s.Limits.RequestBytes }),
	numberSetting("limits", "answer_bytes", "bytes", 64*mebibyte, 1024, 1024*mebibyte,
		"Largest response that is not streamed; it is buffered until it is verified.",
		func(s *Settings) *int64 { return &s.Limits.AnswerBytes }),
	numberSetting("limits", "event_bytes", "bytes", 4*mebibyte, 1024, 64*mebibyte, "Largest event of a stream, and largest chunk that holds events.",
		func(s *Settings) *int64 { return &s.Limits.EventBytes }),
	numberSetting("limits", "answer_memory_bytes", "bytes", 256*mebibyte, mebibyte, 1024*1024*mebibyte,
		"Memory in which the answers and events of all requests are held until they are complete. A request whose answer needs more fails; 16 KiB of each answer are held in any case.",
		func(s *Settings) *int64 { return &s.Limits.AnswerMemoryBytes }),
	numberSetting("limits", "requests", "requests", 4096, 1, 1000000,
		"Concurrent requests. Tiers below the highest are refused at nine tenths of the limit, so that the highest tier is refused last.",
		func(s *Settings) *int { return &s.Limits.Requests }),
	numberSetting("limits", "connections", "connections", 10000, 1, 1000000,
		"Concurrent connections of callers; further ones wait in the listen queue.",
		func(s *Settings) *int { return &s.Limits.Connections }),
	numberSetting("limits", "resume_tries", "tries", 4, 0, 100, "Consecutive attempts to resume a broken stream without progress before the request fails.",
		func(s *Settings) *int { return &s.Limits.ResumeTries }),
	numberSetting("limits", "kept_requests", "requests", 4096, 0, 1000000, "Ended requests whose run state is kept for GET /v1/requests/{id}.",
		func(s *Settings) *int { return &s.Limits.KeptRequests }),

	durationSetting("timeouts", "read_header", 10*time.Second, 100*time.Millisecond, 10*time.Minute, "Time to read the header of a request.",
		func(s *Settings) *time.Duration { return &s.Timeouts.ReadHeader }),
	durationSetting("timeouts", "read_body", time.Minute, time.Second, time.Hour, "Time to read the body of a request.",
		func(s *Settings) *time.Duration { return &s.Timeouts.ReadBody }),
	durationSetting("timeouts", "idle", 2*time.Minute, time.Second, time.Hour, "Time after which an unused connection of a caller is closed.",
		func(s *Settings) *time.Duration { return &s.Timeouts.Idle }),
	durationSetting("timeouts", "linger", 10*time.Second, 0, 10*time.Minute,
		"Time for which an engine continues a request whose caller has disconnected, so that the caller can resume it without a second prefill; then the request is cancelled. Not in effect yet: the daemon lets such a request run to its end.",
		func(s *Settings) *time.Duration { return &s.Timeouts.Linger }),
	durationSetting("timeouts", "resume_backoff", 100*time.Millisecond, 0, time.Minute,
		"Delay before the second attempt to resume a stream; it doubles with each further attempt.",
		func(s *Settings) *time.Duration { return &s.Timeouts.ResumeBackoff }),
	durationSetting("timeouts", "release", 2*time.Second, 10*time.Millisecond, time.Minute, "Time to report the end of a request to its scheduler.",
		func(s *Settings) *time.Duration { return &s.Timeouts.Release }),
	durationSetting("timeouts", "deadline", time.Minute, time.Millisecond, 24*time.Hour, "Deadline of a request whose tier sets none.",
		func(s *Settings) *time.Duration { return &s.Timeouts.Deadline }),

	durationSetting("drain", "balancer_delay", 5*time.Second, 0, 10*time.Minute,
		"Time between reporting not ready and refusing new requests, in which the load balancer stops sending them.",
		func(s *Settings) *time.Duration { return &s.Drain.BalancerDelay }),

	enumSetting("scheduler", "policy", sched.PolicyRosemarywing, "Placement policy of the pools that this instance schedules. All but the default are baselines for comparison; they ignore tiers, teams, prefixes and deadlines.",
		sched.Policies(), func(s *Settings) *string { return &s.Scheduler.Policy }),

	enumSetting("log", "level", "info", "Lowest severity that is logged.", []string{"debug", "info", "error"},
		func(s *Settings) *string { return &s.Log.Level }),
}

// Markdown returns the documentation of all settings as a page.
func Markdown() string {
	var out strings.Builder
	out.WriteString("# Settings of rosemarywing-entry\n\nGenerated from pkg/settings by `UPDATE_DOCS=1 go test ./pkg/settings`.\n")
	section := ""
	for _, r := range allSettings {
		if r.section != section {
			section = r.section
			fmt.Fprintf(&out, "\n## [%s]\n\n| key | unit | range | default | meaning |\n|---|---|---|---|---|\n", section)
		}
		fmt.Fprintf(&out, "| %s | %s | %s | %s | %s |\n", r.key, r.unit, r.rangeText, r.documentedDefault(), r.doc)
	}
	return out.String()
}

// DefaultsFile returns a settings file that sets every key to its default. Keys
// without a default are commented out.
func DefaultsFile() string {
	var out strings.Builder
	section := ""
	for _, r := range allSettings {
		if r.section != section {
			section = r.section
			fmt.Fprintf(&out, "\n[%s]\n", section)
		}
		fmt.Fprintf(&out, "; %s (%s)\n", r.doc, r.expectedText())
		if r.defaultText == "" {
			out.WriteString("; ")
		}
		fmt.Fprintf(&out, "%s = %s\n", r.key, r.defaultText)
	}
	return strings.TrimPrefix(out.String(), "\n")
}

// documentedDefault returns the default as shown in the documentation.
func (r setting) documentedDefault() string {
	if r.required {
		return "(must be set)"
	}
	return r.defaultText
}
