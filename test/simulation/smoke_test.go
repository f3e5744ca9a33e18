package simulation

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"stepseam.example/stepseam/api"
	"stepseam.example/stepseam/internal/serving"
)

// TestProgramRunsThroughDifferentNodes runs one program, each step through another node
// of a healthy site.
func TestProgramRunsThroughDifferentNodes(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		site := newSite(t, quito(1))
		defer site.close()
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Minute)
		defer cancel()
		at := func(index int) serving.Programs { return site.incarnation(index % site.plan.nodes).Node.Programs() }

		_, err := at(0).Create(ctx, serving.CreateRequest{ID: "program-1", Tenant: "usfq", Class: className})
		is.NoErr(err)
		for sequence := 1; sequence <= 4; sequence++ {
			var streamed string
			answer, err := at(sequence).Call(ctx, serving.CallRequest{Program: "program-1", Call: api.CallRequest{
				Sequence: uint64(sequence), Kind: api.CallModel, MaxTokens: 16,
				Messages: []api.Message{{Role: "user", Content: "what is missing from my file?"}},
			}}, func(_ int, text string) error { streamed += text; return nil })
			is.NoErr(err)
			is.Equal(streamed, answer.Text) // the streamed tokens form the answer
		}
		answer, err := at(5).Call(ctx, serving.CallRequest{Program: "program-1", Call: api.CallRequest{
			Sequence: 5, Kind: api.CallApplication, Application: portalService, Operation: "enrol",
			Input: []byte(`{"course":"algebra"}`), IdempotencyKey: "enrol-1", Unrepeatable: true,
		}}, nil)
		is.NoErr(err)
		is.True(len(answer.Output) > 0)
		ended, err := at(0).End(ctx, "program-1")
		is.NoErr(err)
		is.Equal(ended.State, api.ProgramEnded)
	})
}
