package cli

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"

	"github.com/rosemarywing/rosemarywing/pkg/errkind"
	"github.com/rosemarywing/rosemarywing/pkg/platform"
)

// roleEntry is the role of entry instances in the platform's instance list.
const roleEntry = "entry"

// maxParallel bounds the instances asked at the same time.
const maxParallel = 32

// status is what an instance answers at /status/config.
type status struct {
	Instance string `json:"instance"`
	Domain   string `json:"domain"`
	Usable   bool   `json:"usable"`
	// Digest may be a JSON number or a string.
	Digest        json.RawMessage `json:"digest,omitempty"`
	NewestVersion uint64          `json:"newestVersion"`
	// Error is set when the instance could not be asked.
	Error string `json:"error,omitempty"`
}

type inforceCommand struct {
	app *app
}

// Execute asks every listed entry instance. It fails with NotReady when an
// instance could not be asked, so that scripts do not take silence for assent.
func (c *inforceCommand) Execute([]string) error {
	instances, err := c.app.platform.Instances(c.app.ctx)
	if err != nil {
		return err
	}
	var entries []platform.ListedInstance
	for _, instance := range instances {
		if instance.Role == roleEntry {
			entries = append(entries, instance)
		}
	}
	statuses := make([]status, len(entries))
	slots := make(chan struct{}, maxParallel)
	var asked sync.WaitGroup
	for i, instance := range entries {
		asked.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			statuses[i] = c.app.ask(instance)
		})
	}
	asked.Wait()
	table := [][]string{{"INSTANCE", "DOMAIN", "USABLE", "NEWEST", "DIGEST", "ERROR"}}
	silent := 0
	for _, s := range statuses {
		if s.Error != "" {
			silent++
		}
		table = append(table, []string{
			s.Instance, s.Domain, strconv.FormatBool(s.Usable),
			strconv.FormatUint(s.NewestVersion, 10), string(s.Digest), s.Error,
		})
	}
	if err := c.app.print(statuses, table); err != nil {
		return err
	}
	if silent > 0 {
		return errkind.New(errkind.NotReady, "%d of %d instances could not be asked", silent, len(statuses))
	}
	return nil
}

func (a *app) ask(instance platform.ListedInstance) status {
	result := status{Instance: instance.Name, Domain: instance.Domain}
	if err := a.fetchStatus(instance.AdminAddress, &result); err != nil {
		return status{Instance: instance.Name, Domain: instance.Domain, Error: err.Error()}
	}
	return result
}

func (a *app) fetchStatus(address string, into *status) error {
	if address == "" {
		return errkind.New(errkind.NotReady, "the instance list has no admin address")
	}
	request, err := http.NewRequestWithContext(a.ctx, http.MethodGet, "http://"+address+"/status/config", http.NoBody)
	if err != nil {
		return err
	}
	response, err := a.http.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", response.StatusCode)
	}
	return json.NewDecoder(response.Body).Decode(into)
}
