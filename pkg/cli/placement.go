package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/rosemarywing/rosemarywing/pkg/errkind"
	"github.com/rosemarywing/rosemarywing/pkg/gateway"
)

// maxPreviewBytes bounds the file of a request and the answer of an instance.
const maxPreviewBytes = 4 << 20

// previewedRequest describes a request, from flags or a file.
type previewedRequest struct {
	Route        string `json:"route" long:"route" description:"name of the route"`
	Service      string `json:"service" long:"service" description:"service, if the route has several"`
	Team         string `json:"team" long:"team" description:"team of the caller"`
	Kind         string `json:"kind" long:"kind" description:"kind of the request; an error if the route has another one"`
	PromptTokens int    `json:"promptTokens" long:"prompt-tokens" description:"tokens of the prompt"`
	OutputTokens int    `json:"outputTokens" long:"output-tokens" description:"expected tokens of the answer"`
	DeadlineMs   int    `json:"deadlineMs" long:"deadline-ms" default:"30000" description:"timeout of the caller in milliseconds"`
}

type placementCommand struct {
	app      *app
	Instance string `long:"instance" required:"true" description:"admin address of a gateway instance, host:port"`
	File     string `long:"file" short:"f" description:"JSON file with the request instead of flags, - for the standard input"`
	previewedRequest
}

// Execute asks the instance where the request would go, and prints the answer.
func (c *placementCommand) Execute([]string) error {
	request := c.previewedRequest
	if c.File != "" {
		if err := c.readFile(&request); err != nil {
			return errkind.Wrap(errkind.BadRequest, err, "file %s", c.File)
		}
	}
	if request.Route == "" {
		return errkind.New(errkind.BadRequest, "a route is required")
	}
	if request.PromptTokens < 0 || request.OutputTokens < 0 || request.DeadlineMs <= 0 {
		return errkind.New(errkind.BadRequest, "tokens must not be negative, and the deadline must be above 0")
	}
	preview, err := c.ask(request)
	if err != nil {
		return err
	}
	return c.app.print(preview, previewRows(preview))
}

func (c *placementCommand) readFile(request *previewedRequest) error {
	file := c.app.in
	if c.File != stdinName {
		opened, err := os.Open(c.File)
		if err != nil {
			return err
		}
		// Nothing was written, so an error on closing loses no data.
		defer func() { _ = opened.Close() }()
		file = opened
	}
	decoder := json.NewDecoder(io.LimitReader(file, maxPreviewBytes))
	decoder.DisallowUnknownFields()
	return decoder.Decode(request)
}

// ask queries the instance.
func (c *placementCommand) ask(request previewedRequest) (gateway.PlacementPreview, error) {
	var preview gateway.PlacementPreview
	values := url.Values{"route": {request.Route}, "deadline_ms": {strconv.Itoa(request.DeadlineMs)}}
	for name, value := range map[string]string{"service": request.Service, "team": request.Team, "kind": request.Kind} {
		if value != "" {
			values.Set(name, value)
		}
	}
	values.Set("prompt_tokens", strconv.Itoa(request.PromptTokens))
	values.Set("output_tokens", strconv.Itoa(request.OutputTokens))
	query, err := http.NewRequestWithContext(c.app.ctx, http.MethodGet, baseURL(c.Instance)+"/placement?"+values.Encode(), nil)
	if err != nil {
		return preview, errkind.Wrap(errkind.BadRequest, err, "instance %q", c.Instance)
	}
	response, err := c.app.http.Do(query)
	if err != nil {
		return preview, errkind.Wrap(errkind.NotReady, err, "instance %s", c.Instance)
	}
	// Nothing was written, so an error on closing loses no data.
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxPreviewBytes))
	if err != nil {
		return preview, errkind.Wrap(errkind.NotReady, err, "instance %s", c.Instance)
	}
	switch response.StatusCode {
	case http.StatusOK:
	case http.StatusBadRequest:
		return preview, errkind.New(errkind.BadRequest, "%s", strings.TrimSpace(string(content)))
	case http.StatusNotFound:
		return preview, errkind.New(errkind.BadRequest, "%s is not the admin address of a gateway instance that answers about placements", c.Instance)
	default:
		return preview, errkind.New(errkind.NotReady, "instance %s answered %d: %s", c.Instance, response.StatusCode, strings.TrimSpace(string(content)))
	}
	if err := json.Unmarshal(content, &preview); err != nil {
		return preview, errkind.Wrap(errkind.NotReady, err, "answer of instance %s", c.Instance)
	}
	return preview, nil
}

// previewRows returns a preview as text: its decision, and a row for each upstream.
func previewRows(p gateway.PlacementPreview) [][]string {
	line := func(format string, values ...any) []string { return []string{fmt.Sprintf(format, values...)} }
	rows := [][]string{line("route %s (%s), service %s, tier %d, at instance %s", p.Route, p.Kind, p.Service, p.Tier, p.Instance)}
	if p.Quota != nil {
		state := "has room"
		if !p.Quota.Allowed {
			state = "is used up"
		}
		rows = append(rows, line("quota of team %s %s: needs %.0f, %.0f of %.0f used, %d instances unreachable", p.Quota.Team, state, p.Quota.Needed, p.Quota.Used, p.Quota.Allowance, p.Quota.Unreachable))
	}
	switch {
	case p.Upstream != "":
		rows = append(rows, line("placed at %s: %s", p.Upstream, p.Reason))
	case p.Decision == "waits":
		rows = append(rows, line("waits for %s at most: %s", time.Duration(p.MaxWaitMs)*time.Millisecond, p.Reason))
	default:
		rows = append(rows, line("%s: %s", p.Decision, p.Reason))
	}
	if p.DecidedBy != "" {
		rows = append(rows, line("instance %s decides for this one, by its own view", p.DecidedBy))
	}
	rows = append(rows, line("%d requests wait at this instance, %d places are free; oldest report %d ms, configuration %d as of %d ms ago",
		p.QueueLength, p.FreeCapacity, p.OldestReportAgeMs, p.ConfigVersion, p.ConfigAgeMs))
	if len(p.Candidates) == 0 {
		return rows
	}
	rows = append(rows, []string{"UPSTREAM", "DOMAIN", "IN FLIGHT", "SPEED", "EXPECTED", "COST", "OUT"})
	for _, u := range p.Candidates {
		rows = append(rows, []string{
			u.Upstream, u.Domain, fmt.Sprintf("%d of %d", u.InFlight, u.Limit), fmt.Sprintf("%.2f", u.Speed),
			fmt.Sprintf("%d ms", u.ExpectedMs), fmt.Sprintf("%d ms", u.CostMs), u.Out,
		})
	}
	return rows
}
