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

// row describes one setting; the table below is the only list of them.
type row struct {
	section, key string
	unit         string
	// limits is the range in words.
	limits   string
	def      string
	required bool
	doc      string
	set      func(s *Settings, text string) error
}

func (r row) expected() string {
	if r.limits == "" {
		return r.unit
	}
	return r.unit + ", " + r.limits
}

// namePattern has no dot, because dots separate the fields of a request ID.
var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,62}[a-z0-9])?$`)

const (
	nameLimits = "1 to 64 of a-z, 0-9 and '-'"
	mebibyte   = 1 << 20
)

func name(section, key, def, doc string, field func(*Settings) *string) row {
	return row{section: section, key: key, unit: "name", limits: nameLimits, def: def, required: def == "", doc: doc,
		set: func(s *Settings, text string) error {
			if !namePattern.MatchString(text) {
				return fmt.Errorf("%q is not a name", text)
			}
			*field(s) = text
			return nil
		}}
}

func names(section, key, doc string, field func(*Settings) *[]string) row {
	return row{section: section, key: key, unit: "names separated by commas", limits: nameLimits + " each", doc: doc,
		set: func(s *Settings, text string) error {
			return eachOf(text, field(s), func(item string) error {
				if !namePattern.MatchString(item) {
					return fmt.Errorf("%q is not a name", item)
				}
				return nil
			})
		}}
}

func eachOf(text string, field *[]string, check func(string) error) error {
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

func checkAddress(text string, needHost bool) error {
	host, port, err := net.SplitHostPort(text)
	if err != nil {
		return fmt.Errorf("%q is not host:port", text)
	}
	if needHost && host == "" {
		return fmt.Errorf("%q has no host", text)
	}
	if _, err := strconv.ParseUint(port, 10, 16); err != nil {
		return fmt.Errorf("%q has no port from 0 to 65535", text)
	}
	return nil
}

func address(section, key, def, doc string, needHost bool, field func(*Settings) *string) row {
	return row{section: section, key: key, unit: "host:port", limits: "port 0 to 65535", def: def, doc: doc,
		set: func(s *Settings, text string) error {
			if err := checkAddress(text, needHost); err != nil {
				return err
			}
			*field(s) = text
			return nil
		}}
}

func addresses(section, key, doc string, field func(*Settings) *[]string) row {
	return row{section: section, key: key, unit: "host:port separated by commas", limits: "port 0 to 65535", doc: doc,
		set: func(s *Settings, text string) error {
			return eachOf(text, field(s), func(item string) error { return checkAddress(item, true) })
		}}
}

func duration(section, key string, def, low, high time.Duration, doc string, field func(*Settings) *time.Duration) row {
	return row{section: section, key: key, unit: "duration with unit (ms, s, m, h)", limits: fmt.Sprintf("%v to %v", low, high),
		def: def.String(), doc: doc,
		set: func(s *Settings, text string) error {
			value, err := time.ParseDuration(text)
			if err != nil {
				return fmt.Errorf("%q is not a duration", text)
			}
			if value < low || value > high {
				return fmt.Errorf("%v is out of range", value)
			}
			*field(s) = value
			return nil
		}}
}

func number[T int | int64](section, key, unit string, def, low, high T, doc string, field func(*Settings) *T) row {
	return row{section: section, key: key, unit: unit, limits: fmt.Sprintf("%d to %d", low, high),
		def: strconv.FormatInt(int64(def), 10), doc: doc,
		set: func(s *Settings, text string) error {
			value, err := strconv.ParseInt(text, 10, 64)
			if err != nil {
				return fmt.Errorf("%q is not a whole number", text)
			}
			if value < int64(low) || value > int64(high) {
				return fmt.Errorf("%d is out of range", value)
			}
			*field(s) = T(value)
			return nil
		}}
}

func truth(section, key string, def bool, doc string, field func(*Settings) *bool) row {
	return row{section: section, key: key, unit: "true or false", def: strconv.FormatBool(def), doc: doc,
		set: func(s *Settings, text string) error {
			if text != "true" && text != "false" {
				return fmt.Errorf("%q is neither true nor false", text)
			}
			*field(s) = text == "true"
			return nil
		}}
}

func choice(section, key, def, doc string, allowed []string, field func(*Settings) *string) row {
	return row{section: section, key: key, unit: "one of " + strings.Join(allowed, ", "), def: def, doc: doc,
		set: func(s *Settings, text string) error {
			if !slices.Contains(allowed, text) {
				return fmt.Errorf("%q is not allowed", text)
			}
			*field(s) = text
			return nil
		}}
}

var rows = []row{
	name("instance", "id", "", "Unique name of the instance.",
		func(s *Settings) *string { return &s.Instance.ID }),
	name("instance", "domain", "", "Failure domain of the instance.",
		func(s *Settings) *string { return &s.Instance.Domain }),
	name("instance", "region", "local", "Region of the failure domain.",
		func(s *Settings) *string { return &s.Instance.Region }),
	names("instance", "region_domains", "Failure domains of the instance's own region. They are asked when the local one cannot serve a request; all others count as other regions and are asked last, within the byte budget between regions.",
		func(s *Settings) *[]string { return &s.Instance.RegionDomains }),

	address("listen", "callers", "127.0.0.1:8080", "Address for callers.", false,
		func(s *Settings) *string { return &s.Listen.Callers }),
	address("listen", "peer", "127.0.0.1:8081", "Address for other instances.", false,
		func(s *Settings) *string { return &s.Listen.Peer }),
	address("listen", "admin", "127.0.0.1:8082", "Address for health, readiness, metrics and status.", false,
		func(s *Settings) *string { return &s.Listen.Admin }),

	addresses("peer", "seeds", "Peer addresses of instances that are asked first for members and configuration.",
		func(s *Settings) *[]string { return &s.Peer.Seeds }),
	address("peer", "advertise", "", "Peer address that other instances use; the listen address if not set.", true,
		func(s *Settings) *string { return &s.Peer.Advertise }),
	address("peer", "advertise_admin", "", "Admin address that other instances report; the listen address if not set.", true,
		func(s *Settings) *string { return &s.Peer.AdvertiseAdmin }),

	address("platform", "address", "127.0.0.1:8090", "Address of the platform's object API.", true,
		func(s *Settings) *string { return &s.Platform.Address }),
	duration("platform", "timeout", 2*time.Second, 100*time.Millisecond, time.Minute,
		"Time limit of one call to the platform; a watch has none.",
		func(s *Settings) *time.Duration { return &s.Platform.Timeout }),

	truth("callers", "trust_team_header", false, "Take the team from Rosemarywing-Team; only behind a balancer that sets it.",
		func(s *Settings) *bool { return &s.Callers.TrustTeamHeader }),
	truth("callers", "allow_anonymous", false, "Serve callers without a key as team 'default'.",
		func(s *Settings) *bool { return &s.Callers.AllowAnonymous }),

	number("limits", "request_bytes", "bytes", 32*mebibyte, 1024, 256*mebibyte, "Largest request body.",
		func(s *Settings) *int64 { return &s.Limits.RequestBytes }),
	number("limits", "answer_bytes", "bytes", 64*mebibyte, 1024, 1024*mebibyte,
		"Largest answer that is not streamed; it is held until it is verified.",
		func(s *Settings) *int64 { return &s.Limits.AnswerBytes }),
	number("limits", "event_bytes", "bytes", 4*mebibyte, 1024, 64*mebibyte, "Largest event of a stream.",
		func(s *Settings) *int64 { return &s.Limits.EventBytes }),
	number("limits", "requests", "requests", 4096, 1, 1000000,
		"Requests held at a time. Tiers below the highest are refused at nine tenths of it, so that the highest tier is refused last.",
		func(s *Settings) *int { return &s.Limits.Requests }),
	number("limits", "connections", "connections", 10000, 1, 1000000,
		"Connections of callers accepted at a time; more wait in the listen queue.",
		func(s *Settings) *int { return &s.Limits.Connections }),
	number("limits", "resume_tries", "tries", 4, 0, 100, "Tries to resume a broken stream without progress, before it is given up.",
		func(s *Settings) *int { return &s.Limits.ResumeTries }),
	number("limits", "kept_requests", "requests", 4096, 0, 1000000, "Ended requests whose run state is kept for GET /v1/requests/{id}.",
		func(s *Settings) *int { return &s.Limits.KeptRequests }),

	duration("timeouts", "read_header", 10*time.Second, 100*time.Millisecond, 10*time.Minute, "Time to read the header of a request.",
		func(s *Settings) *time.Duration { return &s.Timeouts.ReadHeader }),
	duration("timeouts", "read_body", time.Minute, time.Second, time.Hour, "Time to read the body of a request.",
		func(s *Settings) *time.Duration { return &s.Timeouts.ReadBody }),
	duration("timeouts", "idle", 2*time.Minute, time.Second, time.Hour, "Time after which an unused connection of a caller is closed.",
		func(s *Settings) *time.Duration { return &s.Timeouts.Idle }),
	duration("timeouts", "linger", 10*time.Second, 0, 10*time.Minute,
		"Time for which an engine goes on with a request whose caller is gone, so that the caller can resume it without a second prefill; then it is cancelled. No effect yet: the daemon lets such a request run to its end.",
		func(s *Settings) *time.Duration { return &s.Timeouts.Linger }),
	duration("timeouts", "resume_backoff", 100*time.Millisecond, 0, time.Minute,
		"Time before the second try to resume a stream; it doubles with each further try.",
		func(s *Settings) *time.Duration { return &s.Timeouts.ResumeBackoff }),
	duration("timeouts", "release", 2*time.Second, 10*time.Millisecond, time.Minute, "Time to report the end of a request to its scheduler.",
		func(s *Settings) *time.Duration { return &s.Timeouts.Release }),
	duration("timeouts", "deadline", time.Minute, time.Millisecond, 24*time.Hour, "Deadline of a request whose tier sets none.",
		func(s *Settings) *time.Duration { return &s.Timeouts.Deadline }),

	duration("drain", "balancer_delay", 5*time.Second, 0, 10*time.Minute,
		"Time between not ready and refusing new requests, in which the load balancer stops sending them.",
		func(s *Settings) *time.Duration { return &s.Drain.BalancerDelay }),

	choice("scheduler", "policy", sched.PolicyRosemarywing, "Placement policy of the pools that this instance schedules. All but the default are baselines for comparison; they know no tiers, teams, prefixes or deadlines.",
		sched.Policies(), func(s *Settings) *string { return &s.Scheduler.Policy }),

	choice("log", "level", "info", "Lowest level that is logged.", []string{"debug", "info", "error"},
		func(s *Settings) *string { return &s.Log.Level }),
}

// Document returns the table of settings as a Markdown page.
func Document() string {
	var out strings.Builder
	out.WriteString("# Settings of rosemarywing-entry\n\nGenerated from pkg/settings by `UPDATE_DOCS=1 go test ./pkg/settings`.\n")
	section := ""
	for _, r := range rows {
		if r.section != section {
			section = r.section
			fmt.Fprintf(&out, "\n## [%s]\n\n| key | unit | range | default | meaning |\n|---|---|---|---|---|\n", section)
		}
		fmt.Fprintf(&out, "| %s | %s | %s | %s | %s |\n", r.key, r.unit, r.limits, r.shownDefault(), r.doc)
	}
	return out.String()
}

// Defaults returns a settings file that sets every key to its default.
func Defaults() string {
	var out strings.Builder
	section := ""
	for _, r := range rows {
		if r.section != section {
			section = r.section
			fmt.Fprintf(&out, "\n[%s]\n", section)
		}
		fmt.Fprintf(&out, "; %s (%s)\n", r.doc, r.expected())
		if r.def == "" {
			out.WriteString("; ")
		}
		fmt.Fprintf(&out, "%s = %s\n", r.key, r.def)
	}
	return strings.TrimPrefix(out.String(), "\n")
}

func (r row) shownDefault() string {
	if r.required {
		return "(must be set)"
	}
	return r.def
}
