package site

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"

	"stepseam.example/stepseam/internal/lab/process"
)

// Emulator is the process of an emulator, which listens on Address.
type Emulator struct {
	*process.Process
	Address netip.AddrPort
}

// Get decodes the JSON document at path into answer.
func (s *Emulator) Get(ctx context.Context, path string, answer any) error {
	return getJSON(ctx, "http://"+s.Address.String()+path, answer)
}

// Put sends body as JSON to path, for instance to set faults.
func (s *Emulator) Put(ctx context.Context, path string, body any) error {
	return sendJSON(ctx, http.MethodPut, "http://"+s.Address.String()+path, body, nil)
}

// Post sends body as JSON to path and decodes the response into answer, unless answer
// is nil.
func (s *Emulator) Post(ctx context.Context, path string, body, answer any) error {
	return sendJSON(ctx, http.MethodPost, "http://"+s.Address.String()+path, body, answer)
}

func getJSON(ctx context.Context, url string, answer any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return fmt.Errorf("site: %w", err)
	}
	return exchange(request, answer)
}

func sendJSON(ctx context.Context, method, url string, body, answer any) error {
	encoded, err := json.Marshal(body)
	if err != nil {
		return fmt.Errorf("site: %s: %w", url, err)
	}
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(encoded))
	if err != nil {
		return fmt.Errorf("site: %w", err)
	}
	request.Header.Set("Content-Type", "application/json")
	return exchange(request, answer)
}

// maxResponseBytes bounds the length of a response body; the rest is not read.
const maxResponseBytes = 64 << 20

func exchange(request *http.Request, answer any) error {
	response, err := httpClient.Do(request)
	if err != nil {
		return fmt.Errorf("site: %w", err)
	}
	defer response.Body.Close()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return fmt.Errorf("site: %s %s: %w", request.Method, request.URL, err)
	}
	if response.StatusCode < 200 || response.StatusCode > 299 {
		return fmt.Errorf("site: %s %s: status %d: %s", request.Method, request.URL, response.StatusCode, bytes.TrimSpace(content))
	}
	if answer == nil {
		return nil
	}
	if err := json.Unmarshal(content, answer); err != nil {
		return fmt.Errorf("site: %s %s: %w", request.Method, request.URL, err)
	}
	return nil
}
