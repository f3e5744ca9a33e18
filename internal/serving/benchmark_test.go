package serving_test

import (
	"context"
	"fmt"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"

	"stepseam.example/stepseam/internal/backend"
	"stepseam.example/stepseam/internal/blackboard"
	"stepseam.example/stepseam/internal/identity"
	"stepseam.example/stepseam/internal/journal"
	"stepseam.example/stepseam/internal/scheduling"
	"stepseam.example/stepseam/internal/serving"
	"stepseam.example/stepseam/internal/siteservices"
	"stepseam.example/stepseam/internal/table"
)

// instantEngine responds immediately with a fixed number of tokens.
type instantEngine struct {
	backend.Engine
	tokens int
	text   string
}

func (e instantEngine) Generate(_ context.Context, request backend.GenerateRequest, onToken func(backend.Token) error) (backend.GenerateResult, error) {
	for index := range e.tokens {
		if err := onToken(backend.Token{Index: index, Text: "word "}); err != nil {
			return backend.GenerateResult{}, err
		}
	}
	usage := backend.Usage{PromptTokens: 8 * len(request.Messages), CompletionTokens: e.tokens}
	return backend.GenerateResult{Text: e.text, FinishReason: "stop", Usage: usage}, nil
}

func (e instantEngine) Release(context.Context, identity.ProgramID, identity.BranchID) error {
	return nil
}

type instantDirectory struct{ engine instantEngine }

func (d instantDirectory) Engine(netip.AddrPort) backend.Engine           { return d.engine }
func (d instantDirectory) Application(netip.AddrPort) backend.Application { return nil }

// instantShard acknowledges records immediately and discards them.
type instantShard struct {
	id   identity.ShardID
	lost chan struct{}
}

func (s instantShard) ID() identity.ShardID  { return s.id }
func (s instantShard) Epoch() identity.Epoch { return 1 }
func (s instantShard) CheckLease() error     { return nil }
func (s instantShard) Lost() <-chan struct{} { return s.lost }

func replicated(context.Context) error { return nil }

func (s instantShard) Enqueue(...[]byte) (func(context.Context) error, error) { return replicated, nil }

func (s instantShard) EnqueueDurable(...[]byte) (func(context.Context) error, error) {
	return replicated, nil
}

func benchmarkOwner(engines, shards int) *serving.Owner {
	board := blackboard.NewBoard()
	board.Table.Store(&table.Table{
		Version: 1,
		Models:  map[string]table.Model{testModel: {Name: testModel}},
		Classes: map[string]table.Class{testClass: {Name: testClass, Model: testModel, BudgetTokens: 1 << 40, MaxTokens: 100}},
	})
	for number := range engines {
		name := fmt.Sprintf("engine-%d", number)
		board.Backends.Store(name, blackboard.Backend{
			Name: name, Role: siteservices.RoleEngine, Address: address(1, number%200),
			Report: backend.LoadReport{Models: []string{testModel}},
		})
	}
	owner := serving.NewOwner(serving.Config{
		Self: "node", ShardCount: shards, Board: board, Policy: scheduling.NewStepseam(),
		Directory: instantDirectory{engine: instantEngine{tokens: 32, text: strings.Repeat("word ", 32)}},
	})
	for id := range shards {
		opened := instantShard{id: identity.ShardID(id), lost: make(chan struct{})}
		var shard journal.Shard = opened
		owner.ShardOpened(shard, owner.NewStateMachine(opened.id))
	}
	return owner
}

// BenchmarkCall measures programs of ten model calls of 32 tokens on one owner, with an
// engine and a journal that respond immediately.
func BenchmarkCall(b *testing.B) {
	for _, engines := range []int{14, 600} {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) {
			owner := benchmarkOwner(engines, 64)
			var numbers atomic.Int64
			b.ReportAllocs()
			b.ResetTimer()
			b.RunParallel(func(pb *testing.PB) {
				var id identity.ProgramID
				for sequence := uint64(0); pb.Next(); sequence++ {
					if sequence%10 == 0 {
						id = next(b, owner, id, numbers.Add(1))
					}
					call := modelCall(sequence%10+1, "a question of some forty bytes, as people ask")
					_, err := owner.Call(b.Context(), serving.CallRequest{Program: id, Call: call}, func(int, string) error { return nil })
					if err != nil {
						b.Error(err)
						return
					}
				}
			})
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "calls/s")
		})
	}
}

// next ends a program and creates another.
func next(b *testing.B, owner *serving.Owner, former identity.ProgramID, number int64) identity.ProgramID {
	if former != "" {
		if _, err := owner.End(b.Context(), former); err != nil {
			b.Error(err)
		}
	}
	id := identity.ProgramID(fmt.Sprintf("program-%d", number))
	if _, err := owner.Create(b.Context(), serving.CreateRequest{ID: id, Tenant: "t", Class: testClass}); err != nil {
		b.Error(err)
	}
	return id
}
