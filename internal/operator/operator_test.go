package operator_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"stepseam.example/stepseam/api"
	"stepseam.example/stepseam/internal/blackboard"
	"stepseam.example/stepseam/internal/controller/tables"
	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/operator"
	"stepseam.example/stepseam/internal/peer"
	"stepseam.example/stepseam/internal/table"
)

// outcomes is a fake table controller that returns the same outcome for every publication.
type outcomes struct{ err error }

func (outcomes) State() tables.State    { return tables.State{} }
func (outcomes) History() []table.Entry { return nil }

func (outcomes) Version(context.Context, table.Version) (table.Record, error) {
	return table.Record{}, tables.ErrVersionNotRetained
}

func (o outcomes) Publish(_ context.Context, p tables.Publication) (table.Entry, error) {
	return table.Entry{ID: p.ID, Base: p.Base, Version: p.Base + 1, Status: table.Accepted}, o.err
}

// noPrograms is a fake of a site whose shards have no owner.
type noPrograms struct{}

func (noPrograms) Get(context.Context, identity.ProgramID) (api.Program, error) {
	return api.Program{}, fmt.Errorf("wrapped: %w", api.NewProblem(api.CodeNoOwner, "no owner").WithRetryAfter(1500e6))
}

func (n noPrograms) Cancel(ctx context.Context, id identity.ProgramID) (api.Program, error) {
	return n.Get(ctx, id)
}

func serve(t *testing.T, publishErr error) *httptest.Server {
	operators := operator.New(operator.Config{
		Self: identity.Node{Name: "n1"}, Board: blackboard.NewBoard(), Tables: outcomes{err: publishErr}, Programs: noPrograms{},
		Registry: prometheus.NewRegistry(), TableBytes: 1024,
	}, peer.NewRegistry())
	server := httptest.NewServer(operators.Handler())
	t.Cleanup(server.Close)
	return server
}

func request(t *testing.T, method, url, body string) (*http.Response, api.Problem) {
	t.Helper()
	outgoing, err := http.NewRequestWithContext(t.Context(), method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	outgoing.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(outgoing)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	var problem api.Problem
	if err := json.NewDecoder(response.Body).Decode(&problem); err != nil {
		t.Fatal(err)
	}
	return response, problem
}

const publication = `{"id":"x","base":4,"author":"marta","csv":"kind,name"}`

func TestPublicationOutcomesMapToCodes(t *testing.T) {
	_, invalid := table.Parse([]byte("kind,name\nwheel,x\n"))
	for code, c := range map[api.Code]struct {
		err    error
		status int
		notRun bool
	}{
		api.CodeInvalid:           {invalid, http.StatusUnprocessableEntity, true},
		api.CodeTableConflict:     {&tables.ConflictError{Base: 4}, http.StatusConflict, true},
		api.CodeConflict:          {tables.ErrIDReused, http.StatusConflict, true},
		api.CodeLogUnavailable:    {tables.ErrNotPublished, http.StatusServiceUnavailable, true},
		operator.CodeTableUnknown: {&tables.OutcomeUnknownError{ID: "x"}, http.StatusServiceUnavailable, false},
	} {
		t.Run(string(code), func(t *testing.T) {
			is := is.New(t)
			response, problem := request(t, http.MethodPost, serve(t, fmt.Errorf("wrapped: %w", c.err)).URL+"/v1/table/versions", publication)
			is.Equal(response.StatusCode, c.status)
			is.Equal(response.Header.Get("Content-Type"), "application/problem+json")
			is.Equal(problem.Code, code)
			is.Equal(problem.NotRun, c.notRun)
			is.Equal(len(problem.Findings) > 0, code == api.CodeInvalid)
			is.Equal(response.Header.Get("Retry-After") != "", c.status == http.StatusServiceUnavailable)
		})
	}
}

func TestRejectedRequests(t *testing.T) {
	server := serve(t, nil)
	for name, c := range map[string]struct {
		method, path, body string
		status             int
		code               api.Code
	}{
		"large table":     {http.MethodPost, "/v1/table/versions", strings.Replace(publication, "kind,name", strings.Repeat("x", 2000), 1), http.StatusRequestEntityTooLarge, api.CodeTooLarge},
		"no table":        {http.MethodGet, "/v1/table", "", http.StatusServiceUnavailable, api.CodeNoTable},
		"unknown version": {http.MethodGet, "/v1/table/versions/3", "", http.StatusNotFound, operator.CodeUnknownVersion},
		"unknown node":    {http.MethodPost, "/v1/drain", `{"node":"n9"}`, http.StatusNotFound, operator.CodeUnknownNode},
		"no explanation":  {http.MethodGet, "/v1/explain?program=p&sequence=1", "", http.StatusNotFound, operator.CodeNoExplanation},
		"no owner":        {http.MethodGet, "/v1/programs/p", "", http.StatusServiceUnavailable, api.CodeNoOwner},
		"not drainable":   {http.MethodPost, "/v1/drain", `{}`, http.StatusBadGateway, api.CodeInternal},
		"broken JSON":     {http.MethodPost, "/v1/table/versions", `{"id":`, http.StatusBadRequest, api.CodeInvalid},
		"missing fields":  {http.MethodPost, "/v1/table/versions", `{}`, http.StatusUnprocessableEntity, api.CodeInvalid},
		"huge body":       {http.MethodPost, "/v1/table/versions", strings.Repeat("x", 1<<20), http.StatusRequestEntityTooLarge, api.CodeTooLarge},
		"wrong query":     {http.MethodGet, "/v1/programs?limit=many", "", http.StatusUnprocessableEntity, api.CodeInvalid},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			response, problem := request(t, c.method, server.URL+c.path, c.body)
			is.Equal(response.StatusCode, c.status)
			is.Equal(problem.Code, c.code)
		})
	}
	response, _ := request(t, http.MethodGet, server.URL+"/v1/programs/p", "")
	is.New(t).Equal(response.Header.Get("Retry-After"), "2") // 1.5 s rounded up
}
