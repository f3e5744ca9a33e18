package simulation

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync"

	"stepseam.example/stepseam/internal/backend"
)

// wrongDirectory returns back-end clients with one injected fault, to test the checker.
type wrongDirectory struct {
	backend.Directory
	// forget drops the oldest turn of every longer conversation.
	forget bool
	// mixUp answers with the text of the previous answer.
	mixUp bool
	// certain reports every failure as not delivered.
	certain bool

	mutex  sync.Mutex
	former string
}

func (d *wrongDirectory) Engine(address netip.AddrPort) backend.Engine {
	return &wrongEngine{Engine: d.Directory.Engine(address), wrong: d}
}

func (d *wrongDirectory) Application(address netip.AddrPort) backend.Application {
	return &wrongApplication{Application: d.Directory.Application(address), wrong: d}
}

// exchange returns the text of the previous answer and stores this one.
func (d *wrongDirectory) exchange(text string) string {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	former := d.former
	d.former = text
	return former
}

func (d *wrongDirectory) judge(err error) error {
	if d.certain && errors.Is(err, backend.ErrOutcomeUnknown) {
		return fmt.Errorf("%w: said to be", backend.ErrNotDelivered)
	}
	return err
}

type wrongEngine struct {
	backend.Engine
	wrong *wrongDirectory
}

func (e *wrongEngine) Generate(ctx context.Context, request backend.GenerateRequest, onToken func(backend.Token) error) (backend.GenerateResult, error) {
	if e.wrong.forget && len(request.Messages) > 2 {
		request.Messages = request.Messages[1:]
	}
	result, err := e.Engine.Generate(ctx, request, onToken)
	if e.wrong.mixUp && err == nil {
		result.Text = e.wrong.exchange(result.Text)
	}
	return result, e.wrong.judge(err)
}

type wrongApplication struct {
	backend.Application
	wrong *wrongDirectory
}

func (a *wrongApplication) Invoke(ctx context.Context, request backend.InvokeRequest) ([]byte, error) {
	answer, err := a.Application.Invoke(ctx, request)
	return answer, a.wrong.judge(err)
}

// Load returns the replica's report.
func (a *wrongApplication) Load(ctx context.Context) (backend.LoadReport, error) {
	return backend.LoadOf(ctx, a.Application)
}
