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

// roleEntry is the role of entry instances in the instance list of the platform.
const roleEntry = "entry"

// maxConcurrentQueries bounds the number of instances queried at the same time.
const maxConcurrentQueries = 32

// instanceStatus is the response of an instance to a request for /status/config.
type instanceStatus struct {
	Instance string `json:"instance"`
	Domain   string `json:"domain"`
	Usable   bool   `json:"usable"`
	// Digest may be a JSON number or a string.
	Digest        json.RawMessage `json:"digest,omitempty"`
	NewestVersion uint64          `json:"newestVersion"`
	// Error is set if the status could not be fetched.
	Error string `json:"error,omitempty"`
}

type inforceCommand struct {
	app *app
}

// Execute queries every entry instance in the instance list. It fails with
// NotReady if one of them could not be queried, so that a script does not treat
// a missing status as success.
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
	statuses := make([]instanceStatus, len(entries))
	semaphore := make(chan struct{}, maxConcurrentQueries)
	var queries sync.WaitGroup
	for i, instance := range entries {
		queries.Go(func() {
			semaphore <- struct{}{}
			defer func() { <-semaphore }()
			statuses[i] = c.app.queryInstance(instance)
		})
	}
	queries.Wait()
	table := [][]string{{"INSTANCE", "DOMAIN", "USABLE", "NEWEST", "DIGEST", "ERROR"}}
	failed := 0
	for _, s := range statuses {
		if s.Error != "" {
			failed++
		}
		table = append(table, []string{
			s.Instance, s.Domain, strconv.FormatBool(s.Usable),
			strconv.FormatUint(s.NewestVersion, 10), string(s.Digest), s.Error,
		})
	}
	if err := c.app.print(statuses, table); err != nil {
		return err
	}
	if failed > 0 {
		return errkind.New(errkind.NotReady, "%d of %d instances could not be asked", failed, len(statuses))
	}
	return nil
}

// queryInstance returns the status of an instance; Error says why if that failed.
func (a *app) queryInstance(instance platform.ListedInstance) instanceStatus {
	result := instanceStatus{Instance: instance.Name, Domain: instance.Domain}
	if err := a.fetchStatus(instance.AdminAddress, &result); err != nil {
		return instanceStatus{Instance: instance.Name, Domain: instance.Domain, Error: err.Error()}
	}
	return result
}

func (a *app) fetchStatus(address string, into *instanceStatus) error {
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
