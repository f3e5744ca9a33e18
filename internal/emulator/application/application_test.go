package application_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"stepseam.example/stepseam/internal/backend"
	"stepseam.example/stepseam/internal/emulator/application"
)

func inBubble(t *testing.T, test func(t *testing.T, a *application.Application)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		a, err := application.New(application.DefaultParameters("portal-1"), nil)
		if err != nil {
			t.Fatal(err)
		}
		defer a.Close()
		test(t, a)
	})
}

func enrol(key string) backend.InvokeRequest {
	return backend.InvokeRequest{Operation: "enrol", Body: []byte(`{"course":"law"}`), IdempotencyKey: key}
}

func TestExecutionsAreCountedByKey(t *testing.T) {
	inBubble(t, func(t *testing.T, a *application.Application) {
		is := is.New(t)
		_, err := a.Invoke(t.Context(), enrol("k"))
		is.NoErr(err)
		is.Equal(a.Ledger().Executions("enrol", "k"), 1)
		_, err = a.Invoke(t.Context(), enrol("k"))
		is.NoErr(err)
		is.Equal(a.Ledger().Executions("enrol", "k"), 2)
	})
}

func TestRejectedOperationDidNotRun(t *testing.T) {
	inBubble(t, func(t *testing.T, a *application.Application) {
		is := is.New(t)
		a.SetFaults(application.Faults{Refuse: true})
		_, err := a.Invoke(t.Context(), enrol("k"))
		is.True(errors.Is(err, backend.ErrRefused))
		a.SetFaults(application.Faults{Down: true})
		_, err = a.Invoke(t.Context(), enrol("k"))
		is.True(errors.Is(err, backend.ErrNotDelivered))
		a.SetFaults(application.Faults{})
		a.SetDraining(true)
		_, err = a.Invoke(t.Context(), enrol("k"))
		is.True(errors.Is(err, backend.ErrDraining))
		is.Equal(a.Ledger().Executions("enrol", "k"), 0)
	})
}

func TestLostResponseKeepsEffect(t *testing.T) {
	inBubble(t, func(t *testing.T, a *application.Application) {
		is := is.New(t)
		a.SetFaults(application.Faults{LoseNext: 1})
		_, err := a.Invoke(t.Context(), enrol("k"))
		is.True(errors.Is(err, backend.ErrOutcomeUnknown))
		is.Equal(a.Ledger().Executions("enrol", "k"), 1)
	})
}

func TestBlockedOperationRunsAfterCallerGivesUp(t *testing.T) {
	inBubble(t, func(t *testing.T, a *application.Application) {
		is := is.New(t)
		a.SetFaults(application.Faults{HangBefore: true})
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		_, err := a.Invoke(ctx, enrol("k"))
		is.True(errors.Is(err, backend.ErrOutcomeUnknown))
		is.Equal(a.Ledger().Executions("enrol", "k"), 0)
		a.SetFaults(application.Faults{})
		time.Sleep(time.Second)
		is.Equal(a.Ledger().Executions("enrol", "k"), 1)
	})
}
