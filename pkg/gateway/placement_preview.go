package gateway

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"time"

	"github.com/rosemarywing/rosemarywing/pkg/admission"
	"github.com/rosemarywing/rosemarywing/pkg/quota"
	"github.com/rosemarywing/rosemarywing/pkg/traffic"
)

// PlacementPreview states where a request would go now, and why.
type PlacementPreview struct {
	Instance string `json:"instance"`
	Route    string `json:"route"`
	Kind     string `json:"kind"`
	Service  string `json:"service"`
	Tier     int    `json:"tier"`
	// Quota is null if the team has none.
	Quota *QuotaPreview `json:"quota"`
	// Decision is "placed", "waits" or "refused".
	Decision string `json:"decision"`
	Reason   string `json:"reason"`
	Upstream string `json:"upstream,omitempty"`
	// MaxWaitMs is how long the request may wait in the queue.
	MaxWaitMs int64 `json:"maxWaitMs"`
	// DecidedBy is the relay that decides for this instance, by its own view.
	DecidedBy    string              `json:"decidedBy,omitempty"`
	QueueLength  int                 `json:"queueLength"`
	FreeCapacity int                 `json:"freeCapacity"`
	Candidates   []PreviewedUpstream `json:"candidates"`
	// Ages of what the answer rests on.
	OldestReportAgeMs int64  `json:"oldestReportAgeMs"`
	ConfigVersion     uint64 `json:"configVersion"`
	ConfigAgeMs       int64  `json:"configAgeMs"`
}

// QuotaPreview is the room that a team has in its quota.
type QuotaPreview struct {
	Team        string  `json:"team"`
	Needed      float64 `json:"needed"`
	Used        float64 `json:"used"`
	Allowance   float64 `json:"allowance"`
	Allowed     bool    `json:"allowed"`
	Unreachable int     `json:"unreachableInstances"`
}

// PreviewedUpstream is an upstream as considered for a request.
type PreviewedUpstream struct {
	Upstream   string  `json:"upstream"`
	Domain     string  `json:"domain"`
	InFlight   int     `json:"inFlight"`
	Limit      int     `json:"limit"`
	Speed      float64 `json:"speed"`
	ExpectedMs int64   `json:"expectedMs"`
	CostMs     int64   `json:"costMs"`
	// Out is the reason for which it does not get the request; empty if it may.
	Out string `json:"out,omitempty"`
}

// Decisions of a preview.
const (
	previewPlaced  = "placed"
	previewWaits   = "waits"
	previewRefused = "refused"
)

// Parameters of a preview, and bounds of their values.
const (
	paramRoute        = "route"
	paramService      = "service"
	paramTeam         = "team"
	paramKind         = "kind"
	paramPromptTokens = "prompt_tokens"
	paramOutputTokens = "output_tokens"
	paramDeadlineMs   = "deadline_ms"
	maxPreviewTokens  = 100_000_000
	maxPreviewMs      = 24 * 60 * 60 * 1000
)

// previewTimeout bounds the wait for the control loop.
const previewTimeout = 2 * time.Second

// previewQuery is a decoded request for a preview.
type previewQuery struct {
	table                      *traffic.Table
	route                      *traffic.Route
	service                    string
	team                       *traffic.Team
	promptTokens, outputTokens int
	deadline                   time.Duration
}

// previewMsg asks for the placement of a request that is not sent.
type previewMsg struct {
	query previewQuery
	reply chan PlacementPreview
}

func (m previewMsg) apply(c *controlLoop) { m.reply <- c.previewPlacement(m.query) }

func (c *controlLoop) previewPlacement(q previewQuery) PlacementPreview {
	now := c.g.now()
	latencyTarget := q.route.LatencyTarget
	if latencyTarget <= 0 {
		latencyTarget = defaultLatencyTarget
	}
	tier := q.route.Tier
	if q.team != nil && q.team.Tier != nil {
		tier = *q.team.Tier
	}
	answer := PlacementPreview{
		Instance: c.g.settings.Instance.Name, Route: q.route.Name, Kind: q.route.Kind.String(), Service: q.service, Tier: tier,
		DecidedBy: c.follower.Relay(), ConfigVersion: q.table.Version(), ConfigAgeMs: c.g.configAge().Milliseconds(),
	}
	if q.team != nil && q.team.Limited() {
		amount := float64(q.team.Charge(q.promptTokens + q.outputTokens))
		verdict := c.quotas.Preview(now, q.team.Name, quota.Limit{PerSecond: q.team.TokensPerSecond, Burst: q.team.BurstTokens}, amount)
		answer.Quota = &QuotaPreview{Team: q.team.Name, Needed: amount, Used: verdict.Used, Allowance: verdict.Allowance, Allowed: verdict.Allowed, Unreachable: verdict.Unreachable}
	}
	pool := c.pools[q.service]
	if pool == nil {
		answer.Decision, answer.Reason = previewRefused, "the service has no upstream"
		return answer
	}
	preview := pool.Preview(now, &admission.Request{
		Service: q.service, Team: teamName(q.team), Tier: traffic.Rank(q.team, q.route), PromptTokens: q.promptTokens, OutputTokens: q.outputTokens,
		Arrived: now, SoftDeadline: now + latencyTarget, Deadline: now + q.deadline,
	})
	answer.Reason, answer.Upstream, answer.MaxWaitMs = preview.Reason, preview.Upstream, preview.MaxWait.Milliseconds()
	answer.QueueLength, answer.FreeCapacity, answer.OldestReportAgeMs = preview.QueueLength, preview.FreeCapacity, preview.OldestReportAge.Milliseconds()
	for _, candidate := range preview.Candidates {
		answer.Candidates = append(answer.Candidates, PreviewedUpstream{
			Upstream: candidate.Upstream.ID, Domain: candidate.Upstream.Domain, InFlight: candidate.InFlight, Limit: candidate.Limit, Speed: candidate.Speed,
			ExpectedMs: candidate.Expected.Milliseconds(), CostMs: int64(candidate.CostMs), Out: candidate.Out,
		})
	}
	switch {
	case answer.Quota != nil && !answer.Quota.Allowed:
		answer.Decision, answer.Upstream, answer.Reason = previewRefused, "", "the quota of the team is used up"
	case preview.Upstream != "":
		answer.Decision = previewPlaced
	case preview.Waits:
		answer.Decision = previewWaits
	default:
		answer.Decision = previewRefused
	}
	return answer
}

// servePlacementPreview answers where a request would go. It changes nothing.
func (g *Gateway) servePlacementPreview(w http.ResponseWriter, r *http.Request) {
	table := g.table.Load()
	if table == nil {
		http.Error(w, "no configuration has been read yet", http.StatusServiceUnavailable)
		return
	}
	query, err := decodePreviewQuery(table, r.URL.RawQuery)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	timeout, stop := g.clock.NewTimer(previewTimeout), make(chan PlacementPreview, 1)
	defer timeout.Stop()
	select {
	case g.control.inbox <- previewMsg{query: query, reply: stop}:
	case <-timeout.Chan():
		http.Error(w, "the control loop did not answer", http.StatusServiceUnavailable)
		return
	}
	select {
	case answer := <-stop:
		w.Header().Set("Content-Type", "application/json")
		// An error means that the client has disconnected.
		_ = json.NewEncoder(w).Encode(answer)
	case <-timeout.Chan():
		http.Error(w, "the control loop did not answer", http.StatusServiceUnavailable)
	}
}

func decodePreviewQuery(table *traffic.Table, rawQuery string) (previewQuery, error) {
	q := previewQuery{table: table}
	values, err := url.ParseQuery(rawQuery)
	if err != nil {
		return q, fmt.Errorf("query: %w", err)
	}
	known := []string{paramRoute, paramService, paramTeam, paramKind, paramPromptTokens, paramOutputTokens, paramDeadlineMs}
	for name, given := range values {
		if !slices.Contains(known, name) {
			return q, fmt.Errorf("unknown parameter %q", name)
		}
		if len(given) > 1 {
			return q, fmt.Errorf("parameter %s is given %d times", name, len(given))
		}
	}
	if q.route = table.Route(values.Get(paramRoute)); q.route == nil {
		return q, fmt.Errorf("no route is named %q", values.Get(paramRoute))
	}
	if kind := values.Get(paramKind); kind != "" && kind != q.route.Kind.String() {
		return q, fmt.Errorf("requests of route %q are of kind %s, not %q", q.route.Name, q.route.Kind, kind)
	}
	q.service = values.Get(paramService)
	switch {
	case q.service == "" && len(q.route.Targets) > 1:
		return q, fmt.Errorf("route %q has several services; one must be given", q.route.Name)
	case q.service == "":
		q.service = q.route.Targets[0].Service
	case !q.route.Serves(q.service):
		return q, fmt.Errorf("route %q sends no requests to service %q", q.route.Name, q.service)
	}
	if err := q.decodeTeam(values.Get(paramTeam)); err != nil {
		return q, err
	}
	deadlineMs := int(defaultTimeout.Milliseconds())
	for _, number := range []struct {
		name     string
		value    *int
		least    int
		greatest int
	}{{paramPromptTokens, &q.promptTokens, 0, maxPreviewTokens}, {paramOutputTokens, &q.outputTokens, 0, maxPreviewTokens}, {paramDeadlineMs, &deadlineMs, 1, maxPreviewMs}} {
		text := values.Get(number.name)
		if text == "" {
			continue
		}
		n, err := strconv.Atoi(text)
		if err != nil || n < number.least || n > number.greatest {
			return q, fmt.Errorf("%s: %q is no number from %d to %d", number.name, text, number.least, number.greatest)
		}
		*number.value = n
	}
	q.deadline = time.Duration(deadlineMs) * time.Millisecond
	if q.route.Timeout > 0 {
		q.deadline = min(q.deadline, q.route.Timeout)
	}
	return q, nil
}

func (q *previewQuery) decodeTeam(name string) error {
	if name == "" {
		if !q.route.Public && q.table.KeysRequired() {
			return fmt.Errorf("route %q requires a team", q.route.Name)
		}
		return nil
	}
	for i, team := range q.table.Teams() {
		if team.Name == name {
			q.team = &q.table.Teams()[i]
			return nil
		}
	}
	return fmt.Errorf("no team is named %q", name)
}
