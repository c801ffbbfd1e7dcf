package testbed

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

var client = &http.Client{Timeout: 10 * time.Second}

// PutJSON puts a value and fails unless the answer is a success.
func PutJSON(url string, value any) error {
	body, err := json.Marshal(value)
	if err != nil {
		return err
	}
	request, err := http.NewRequest(http.MethodPut, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	return do(request, nil)
}

// GetJSON decodes an answer into value, unless value is nil, and fails unless
// the answer is a success.
func GetJSON(url string, value any) error {
	request, err := http.NewRequest(http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	return do(request, value)
}

func do(request *http.Request, value any) error {
	answer, err := client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = answer.Body.Close() }()
	body, err := io.ReadAll(answer.Body)
	if err != nil {
		return err
	}
	if answer.StatusCode >= http.StatusMultipleChoices {
		return fmt.Errorf("%s %s: %s: %s", request.Method, request.URL, answer.Status, body)
	}
	if value == nil {
		return nil
	}
	return json.Unmarshal(body, value)
}
