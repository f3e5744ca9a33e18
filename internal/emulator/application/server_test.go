package application_test

import (
	"encoding/json"
	"errors"
	"net/http/httptest"
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"stepseam.example/stepseam/internal/backend"
	"stepseam.example/stepseam/internal/emulator/application"
)

func TestOperationsOverHTTP(t *testing.T) {
	is := is.New(t)
	a, err := application.New(application.DefaultParameters("portal-1"), nil)
	is.NoErr(err)
	t.Cleanup(a.Close)
	server := httptest.NewServer(application.NewServer(a))
	t.Cleanup(server.Close)
	client := backend.NewDirectory(backend.DefaultOptions()).Application(netip.MustParseAddrPort(server.Listener.Addr().String()))

	raw, err := client.Invoke(t.Context(), enrol("k 1"))
	is.NoErr(err)
	var answer application.Answer
	is.NoErr(json.Unmarshal(raw, &answer))
	is.Equal(answer.Execution, 1)
	is.Equal(string(answer.Input), `{"course":"law"}`)

	a.SetFaults(application.Faults{LoseNext: 1})
	_, err = client.Invoke(t.Context(), enrol("lost"))
	is.True(errors.Is(err, backend.ErrOutcomeUnknown))
	is.Equal(a.Ledger().Executions("enrol", "lost"), 1)

	a.SetFaults(application.Faults{Refuse: true})
	_, err = client.Invoke(t.Context(), enrol("refused"))
	is.True(errors.Is(err, backend.ErrRefused))
	a.SetFaults(application.Faults{})
	a.SetDraining(true)
	report, err := backend.LoadOf(t.Context(), client)
	is.NoErr(err)
	is.True(report.Draining)
	_, err = client.Invoke(t.Context(), enrol("refused"))
	is.True(errors.Is(err, backend.ErrDraining))
	a.SetDraining(false)
	_, err = client.Invoke(t.Context(), backend.InvokeRequest{Operation: "no such"})
	is.True(errors.Is(err, backend.ErrRefused))
	is.Equal(a.Ledger().Executions("enrol", "refused"), 0)
}
