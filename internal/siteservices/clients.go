package siteservices

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"
)

// LogClient is the HTTP client of the log service.
type LogClient struct{ client *client }

var _ Log = (*LogClient)(nil)

// NewLogClient returns a client of the log service. It connects on first use.
func NewLogClient(options ClientOptions) *LogClient {
	return &LogClient{client: newClient(options)}
}

// Close drops idle connections.
func (l *LogClient) Close() { l.client.close() }

// Append implements Log.
func (l *LogClient) Append(ctx context.Context, stream string, records [][]byte) (Offset, error) {
	var answer AppendAnswer
	err := l.client.do(ctx, exchange{
		method: http.MethodPost,
		path:   recordsPath(stream),
		body:   AppendBody{Records: records},
		answer: &answer,
	})
	return answer.Offset, err
}

// Read implements Log. It limits wait to MaxWait.
func (l *LogClient) Read(
	ctx context.Context, stream string, from Offset, limit int, wait time.Duration,
) (ReadResult, error) {
	wait = min(wait, MaxWait)
	query := url.Values{
		"from":    {strconv.FormatUint(uint64(from), 10)},
		"limit":   {strconv.Itoa(limit)},
		"wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	var answer ReadAnswer
	err := l.client.do(ctx, exchange{
		method: http.MethodGet, path: recordsPath(stream), query: query, answer: &answer, wait: wait,
	})
	if err != nil {
		return ReadResult{}, err
	}
	if answer.From != from {
		return ReadResult{}, fmt.Errorf("site services: read %s: %w: asked offset %d, got %d",
			stream, ErrOutcomeUnknown, from, answer.From)
	}
	return ReadResult(answer), nil
}

func recordsPath(stream string) string { return "/v1/streams/" + url.PathEscape(stream) + "/records" }

// MachineListClient is the HTTP client of the machine list.
type MachineListClient struct{ client *client }

var _ MachineList = (*MachineListClient)(nil)

// NewMachineListClient returns a client of the machine list.
func NewMachineListClient(options ClientOptions) *MachineListClient {
	return &MachineListClient{client: newClient(options)}
}

// Close drops idle connections.
func (m *MachineListClient) Close() { m.client.close() }

// Machines implements MachineList.
func (m *MachineListClient) Machines(ctx context.Context) ([]Machine, error) {
	var answer MachinesAnswer
	err := m.client.do(ctx, exchange{method: http.MethodGet, path: "/v1/machines", answer: &answer})
	return answer.Machines, err
}

// WeightStoreClient is the HTTP client of the weight store.
type WeightStoreClient struct{ client *client }

var _ WeightStore = (*WeightStoreClient)(nil)

// NewWeightStoreClient returns a client of the weight store.
func NewWeightStoreClient(options ClientOptions) *WeightStoreClient {
	return &WeightStoreClient{client: newClient(options)}
}

// Close drops idle connections.
func (w *WeightStoreClient) Close() { w.client.close() }

// Wait implements WeightStore.
func (w *WeightStoreClient) Wait(ctx context.Context, model, version string) (time.Duration, error) {
	var answer WaitAnswer
	path := "/v1/weights/" + url.PathEscape(model) + "/" + url.PathEscape(version) + "/wait"
	err := w.client.do(ctx, exchange{method: http.MethodGet, path: path, answer: &answer})
	return time.Duration(answer.WaitSeconds * float64(time.Second)), err
}
