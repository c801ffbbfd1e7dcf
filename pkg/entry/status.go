package entry

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"

	"github.com/rcrowley/go-metrics"
	"github.com/zeromicro/go-zero/rest"

	"github.com/rosemarywing/rosemarywing/pkg/chart"
	"github.com/rosemarywing/rosemarywing/pkg/claim"
	"github.com/rosemarywing/rosemarywing/pkg/errkind"
)

// maxIssuedIDs limits the request IDs issued by one call.
const maxIssuedIDs = 1000

// callerRoutes returns the routes served to callers.
func (e *Entry) callerRoutes() []rest.Route {
	return []rest.Route{
		{Method: http.MethodPost, Path: "/v1/chat/completions", Handler: e.serveRequest},
		{Method: anyMethod, Path: servicesPrefix, Handler: e.serveRequest},
		{Method: http.MethodGet, Path: "/v1/models", Handler: e.serveModels},
		{Method: http.MethodPost, Path: "/v1/requests", Handler: e.serveIssueIDs},
		{Method: http.MethodGet, Path: requestsPrefix, Handler: e.serveRunState},
		{Method: http.MethodGet, Path: "/v1/streams", Handler: e.serveStreamResume},
		{Method: http.MethodGet, Path: "/healthz", Handler: e.serveHealth},
		{Method: http.MethodGet, Path: "/readyz", Handler: e.serveReady},
	}
}

// AdminHandler returns the handler for the admin address.
func (e *Entry) AdminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", e.serveHealth)
	mux.HandleFunc("GET /readyz", e.serveReady)
	mux.HandleFunc("GET /metrics", e.serveMetrics)
	mux.HandleFunc("GET /status/config", e.serveConfig)
	mux.HandleFunc("GET /status/members", e.serveMembers)
	return mux
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set(headerContentType, contentTypeJSON)
	_ = json.NewEncoder(w).Encode(value)
}

func (e *Entry) serveHealth(w http.ResponseWriter, _ *http.Request) {
	_, _ = io.WriteString(w, "ok\n")
}

// serveReady answers 503 while the instance leaves or has no configuration.
func (e *Entry) serveReady(w http.ResponseWriter, _ *http.Request) {
	switch {
	case !e.instanceMachine.HasFlag(flagReady):
		http.Error(w, "leaving", http.StatusServiceUnavailable)
	case !e.Config.Snapshot().Usable:
		http.Error(w, "configuration not known", http.StatusServiceUnavailable)
	default:
		_, _ = io.WriteString(w, "ready\n")
	}
}

// serveModels lists the models in the format of OpenAI's API.
func (e *Entry) serveModels(w http.ResponseWriter, r *http.Request) {
	snapshot := e.Config.Snapshot()
	if _, err := e.resolveTeam(snapshot, r.Header); err != nil {
		e.writeEndpointError(w, err)
		return
	}
	type model struct {
		ID      string `json:"id"`
		Object  string `json:"object"`
		Created int64  `json:"created"`
		OwnedBy string `json:"owned_by"`
	}
	list := []model{}
	for name := range snapshot.Models {
		list = append(list, model{ID: name, Object: "model", OwnedBy: "rosemarywing"})
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	writeJSON(w, map[string]any{"object": "list", "data": list})
}

// serveIssueIDs issues request IDs, which callers can use as idempotency keys.
func (e *Entry) serveIssueIDs(w http.ResponseWriter, r *http.Request) {
	team, err := e.resolveTeam(e.Config.Snapshot(), r.Header)
	if err != nil {
		e.writeEndpointError(w, err)
		return
	}
	issueRequest := struct {
		Count int `json:"count"`
	}{1}
	body, err := e.readBody(w, r)
	if err == nil && len(body) > 0 && json.Unmarshal(body, &issueRequest) != nil || issueRequest.Count < 1 || issueRequest.Count > maxIssuedIDs {
		err = errkind.New(errkind.BadRequest, "expected {\"count\": n} with n from 1 to %d", maxIssuedIDs)
	}
	if err != nil {
		e.writeEndpointError(w, err)
		return
	}
	ids := make([]string, issueRequest.Count)
	for i := range ids {
		ids[i] = e.Claimer.NewID(team.Name)
	}
	writeJSON(w, map[string]any{"ids": ids})
}

const requestsPrefix = "/v1/requests/"

// runStateResponse is the response of GET /v1/requests/{id}.
type runStateResponse struct {
	ID       string           `json:"id"`
	RunState errkind.RunState `json:"run_state"`
	// Final is false while the run state may still change.
	Final    bool        `json:"final"`
	State    chart.State `json:"state,omitempty"`
	Upstream string      `json:"upstream,omitempty"`
}

// serveRunState looks a request up by ID or by the team's idempotency key,
// first at this instance and then through the claimer.
func (e *Entry) serveRunState(w http.ResponseWriter, r *http.Request) {
	team, err := e.resolveTeam(e.Config.Snapshot(), r.Header)
	if err != nil {
		e.writeEndpointError(w, err)
		return
	}
	requestKey := strings.TrimPrefix(r.URL.Path, requestsPrefix)
	for _, key := range []string{requestKey, team.Name + "\x00" + requestKey} {
		if req := e.lookup(key); req != nil && req.team.Name == team.Name {
			writeJSON(w, runStateResponse{ID: requestKey, RunState: req.runState(), Final: req.stateMachine.Final(), State: req.stateMachine.State(), Upstream: req.upstreamName()})
			return
		}
	}
	reader, ok := e.Claimer.(StatusReader)
	if !ok {
		e.writeEndpointError(w, errkind.New(errkind.IssuerLost, "the request is not known here"))
		return
	}
	phase, upstreamName, failure := reader.Status(r.Context(), team.Name, requestKey)
	if failure != nil {
		e.writeEndpointError(w, errkind.New(errkind.IssuerLost, "the request is not known"))
		return
	}
	writeJSON(w, runStateForPhase(requestKey, phase, upstreamName))
}

// runStateForPhase converts a claim phase to a run state.
func runStateForPhase(id string, phase claim.Phase, upstreamName string) runStateResponse {
	body := runStateResponse{ID: id, RunState: errkind.Unknown, Upstream: upstreamName}
	switch phase {
	case claim.Held, claim.Abandoned:
		body.RunState, body.Final = errkind.NotRun, phase == claim.Abandoned
	case claim.Finished:
		body.RunState, body.Final = errkind.Ran, true
	}
	return body
}

// serveConfig shows which configuration is in force.
func (e *Entry) serveConfig(w http.ResponseWriter, _ *http.Request) {
	snapshot := e.Config.Snapshot()
	writeJSON(w, map[string]any{
		"instance":      e.Settings.Instance.ID,
		"domain":        e.Settings.Instance.Domain,
		"usable":        snapshot.Usable,
		"digest":        fmt.Sprintf("%016x", snapshot.Digest),
		"newestVersion": snapshot.NewestVersion,
	})
}

// serveMembers lists the live instances of the failure domain.
func (e *Entry) serveMembers(w http.ResponseWriter, _ *http.Request) {
	type memberBody struct {
		ID           string `json:"id"`
		Incarnation  string `json:"incarnation"`
		Address      string `json:"address"`
		AdminAddress string `json:"adminAddress"`
		Status       int    `json:"status"`
	}
	list := []memberBody{}
	if e.Members != nil {
		for _, m := range e.Members.Live() {
			list = append(list, memberBody{m.ID, strconv.FormatUint(m.Incarnation, 10), m.Address, m.AdminAddress, int(m.Status)})
		}
	}
	writeJSON(w, map[string]any{"members": list})
}

// countRequest increments the request counter for an outcome and tier.
func (e *Entry) countRequest(outcome, tier string) {
	name := "rosemarywing_requests_total{outcome=\"" + outcome + "\",tier=\"" + tier + "\"}"
	metrics.GetOrRegisterCounter(name, e.Metrics).Inc(1)
}

// serveMetrics writes the metrics as text, one value per line.
func (e *Entry) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	var lines []string
	e.Metrics.Each(func(name string, metric any) {
		switch m := metric.(type) {
		case metrics.Counter:
			lines = append(lines, fmt.Sprintf("%s %d", name, m.Count()))
		case metrics.Gauge:
			lines = append(lines, fmt.Sprintf("%s %d", name, m.Value()))
		case metrics.GaugeFloat64:
			lines = append(lines, fmt.Sprintf("%s %g", name, m.Value()))
		case metrics.Histogram:
			s := m.Snapshot()
			lines = append(lines, fmt.Sprintf("%s_count %d", name, s.Count()), fmt.Sprintf("%s_p50 %g", name, s.Percentile(0.5)),
				fmt.Sprintf("%s_p99 %g", name, s.Percentile(0.99)))
		}
	})
	e.mu.Lock()
	lines = append(lines, fmt.Sprintf("rosemarywing_requests_held %d", len(e.inFlight)))
	e.mu.Unlock()
	sort.Strings(lines)
	w.Header().Set(headerContentType, "text/plain; charset=utf-8")
	_, _ = io.WriteString(w, strings.Join(lines, "\n")+"\n")
}

// logEnd counts and logs the end of a request. The line holds neither the body
// nor the caller's key.
func (e *Entry) logEnd(req *request, err *errkind.Error) {
	outcome, tier, team := "completed", "", ""
	if err != nil {
		outcome = string(err.Kind)
	}
	if req.tier != nil {
		tier = req.tier.Name
	}
	if req.team != nil {
		team = req.team.Name
	}
	e.countRequest(outcome, tier)
	fields := []any{"request", req.id, "team", team, "tier", tier, "target", req.target.name, "outcome", outcome,
		"state", req.stateMachine.State(), "upstream", req.upstreamName(), "duration", e.Clock.Since(req.receivedAt).String(),
		"output_tokens", req.outputTokens, "cached_tokens", req.cachedTokens}
	if err == nil {
		e.Log.Info("request ended", fields...)
		return
	}
	switch errkind.ResponseFor(err.Kind).Level {
	case errkind.LogError:
		e.Log.Error(err, "request ended", fields...)
	case errkind.LogInfo:
		e.Log.Info("request ended", append(fields, "error", err.Error())...)
	default:
		e.Log.V(1).Info("request ended", append(fields, "error", err.Error())...)
	}
}
