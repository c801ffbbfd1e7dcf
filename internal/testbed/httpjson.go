package testbed

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

var httpClient = &http.Client{Timeout: 10 * time.Second}

// PutJSON sends a PUT request with value as its JSON body. Responses with a status
// of 300 or above are errors.
func PutJSON(url string, value any) error {
	body, err := json.Marshal(value)
	if err != nil {
		return err
	}
	request, err := http.NewRequest(http.MethodPut, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	return doJSON(request, nil)
}

// GetJSON sends a GET request and decodes the JSON response into value, unless
// value is nil. Responses with a status of 300 or above are errors.
func GetJSON(url string, value any) error {
	request, err := http.NewRequest(http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	return doJSON(request, value)
}

func doJSON(request *http.Request, value any) error {
	response, err := httpClient.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		return fmt.Errorf("%s %s: %s: %s", request.Method, request.URL, response.Status, body)
	}
	if value == nil {
		return nil
	}
	return json.Unmarshal(body, value)
}
